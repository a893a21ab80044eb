//! Parses the load reports of servers: the simulator's columns, and the text of response headers.

use ironmast_balancer::LoadReport;

/// The names of the columns of a load report, in the order of its values.
#[derive(Clone, Debug, Default)]
pub struct LoadReportColumns(Vec<String>);

impl LoadReportColumns {
    pub(crate) fn new(names: Vec<String>) -> Self {
        Self(names)
    }

    /// Builds a report from `values`, given in the order of the columns; unknown columns are
    /// ignored.
    #[must_use]
    pub fn report(&self, values: &[Option<f64>]) -> LoadReport {
        let value_of = |name: &str| {
            let column = self.0.iter().position(|column| column == name)?;
            values.get(column).copied().flatten()
        };
        LoadReport {
            cpu: value_of("cpu"),
            active: value_of("active"),
        }
    }
}

/// Parses a load report in text form, with a name for each value, such as
/// `TEXT inflight=7, util=0.61`. Returns `None` if it contains no known value.
#[must_use]
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().trim_start_matches("TEXT").split(',') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        let value = value
            .trim()
            .parse()
            .ok()
            .filter(|value: &f64| value.is_finite());
        match name.trim() {
            "inflight" | "active" => report.active = value,
            "util" | "cpu" => report.cpu = value,
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}

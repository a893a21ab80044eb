//! The load reports of servers, in the form that a deployment chose.

use ironmast_balancer::LoadReport;

/// The names of the values in load reports, in the order of the values.
#[derive(Clone, Debug, Default)]
pub struct LoadReportColumns(Vec<String>);

impl LoadReportColumns {
    pub(crate) fn new(names: Vec<String>) -> Self {
        Self(names)
    }

    /// The report of `values`, which are in the order of the columns.
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

/// Parses a report in text such as `TEXT inflight=7, util=0.61`, which names its values itself.
/// `None` if it contains no known value.
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

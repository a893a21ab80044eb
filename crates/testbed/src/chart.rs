//! Charts as SVG texts, drawn with `plotters`.

mod heat_map;
mod line;

use plotters::coord::Shift;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use thiserror::Error;

pub(crate) use heat_map::server_heat_map;
pub(crate) use line::{LineChart, latency_axis_position, latency_chart};

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (1000, 460);

/// The margin around the axes and their labels, in pixels.
const MARGIN: u32 = 12;

/// The font of titles and labels.
const FONT: &str = "sans-serif";

/// The size of titles, in pixels.
const TITLE_SIZE: u32 = 20;

/// The height for the labels of the x axis, in pixels.
const X_LABEL_HEIGHT: u32 = 44;

/// A chart that could not be drawn.
#[derive(Debug, Error)]
#[error("a chart could not be drawn")]
pub(crate) struct ChartError(#[from] DrawError);

/// The error of `plotters` for a chart that is drawn into a text.
type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// The area on which a chart is drawn.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// One line of a chart.
pub(crate) struct Series {
    /// The name in the legend.
    pub name: String,
    /// The points, as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// The SVG text of what `paint` draws on a white area.
fn draw(paint: impl Fn(&Area) -> Result<(), DrawError>) -> Result<String, ChartError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        paint(&area)?;
        area.present()?;
    }
    Ok(svg)
}

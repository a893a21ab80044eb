//! Charts of lines with a legend.

use std::ops::Range;

use plotters::prelude::*;

use super::{
    Area, ChartError, DrawError, FONT, MARGIN, SIZE, Series, TITLE_SIZE, X_LABEL_HEIGHT, draw,
};

/// The colours of the series, in their order: Okabe and Ito's palette, which colour-blind readers
/// can distinguish too.
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(213, 94, 0),
    RGBColor(86, 180, 233),
    RGBColor(120, 120, 120),
    RGBColor(0, 0, 0),
];

/// The width of the legend to the right of a chart, in pixels.
const LEGEND_WIDTH: u32 = 150;

/// The size of labels, in pixels.
const LABEL_SIZE: u32 = 14;

/// The width of the labels of a linear y axis, in pixels.
const Y_LABEL_WIDTH: u32 = 64;

/// The width of the labels of the latency axis, in pixels.
const LATENCY_LABEL_WIDTH: u32 = 72;

/// The end of the latency chart's x axis: 99.99 %.
const MAX_LATENCY_POSITION: f64 = 4.0;

/// The lowest latency on the logarithmic axis, in milliseconds.
const MIN_LATENCY_MS: f64 = 0.01;

/// A chart of lines over linear axes.
pub(crate) struct LineChart<'a> {
    /// The title.
    pub title: &'a str,
    /// The name of the x axis, with its unit.
    pub x_name: &'a str,
    /// The name of the y axis, with its unit.
    pub y_name: &'a str,
    /// The range of the y axis; that of the points if there is none.
    pub y_range: Option<Range<f64>>,
}

impl LineChart<'_> {
    /// The chart as SVG.
    ///
    /// # Errors
    /// The chart could not be drawn.
    pub(crate) fn draw(&self, series: &[Series]) -> Result<String, ChartError> {
        let x_range = points_range(series, |point| point.0);
        let y_range = self.y_range.clone();
        let y_range = y_range.unwrap_or_else(|| points_range(series, |point| point.1));
        draw(|area| {
            let mut chart = ChartBuilder::on(area)
                .caption(self.title, (FONT, TITLE_SIZE))
                .margin(MARGIN)
                .margin_right(LEGEND_WIDTH)
                .x_label_area_size(X_LABEL_HEIGHT)
                .y_label_area_size(Y_LABEL_WIDTH)
                .build_cartesian_2d(x_range.clone(), y_range.clone())?;
            chart
                .configure_mesh()
                .x_desc(self.x_name)
                .y_desc(self.y_name)
                .label_style((FONT, LABEL_SIZE))
                .draw()?;
            for (series, style) in styled(series, 2) {
                chart.draw_series(LineSeries::new(series.points.iter().copied(), style))?;
            }
            draw_legend(area, series)
        })
    }
}

/// The position of a percentile on the x axis of [`latency_chart`], on which each further nine has
/// the same width: 90 % is at 1, 99 % at 2.
pub(crate) fn latency_axis_position(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).log10()
}

/// The label at a position of the latency chart's x axis: the percentile without trailing zeros.
fn percentile_label(position: f64) -> String {
    let percentile = 100.0 * (1.0 - 10f64.powf(-position));
    format!("{percentile:.4}")
        .trim_end_matches('0')
        .trim_end_matches('.')
        .to_string()
}

/// A chart of latency in milliseconds (logarithmic) over the percentile, up to 99.99 %. The x
/// values of the points are from [`latency_axis_position`].
///
/// # Errors
/// The chart could not be drawn.
pub(crate) fn latency_chart(title: &str, series: &[Series]) -> Result<String, ChartError> {
    let Range { start, end } = points_range(series, |point| point.1);
    let y_range = start.max(MIN_LATENCY_MS)..end.max(2.0 * MIN_LATENCY_MS) * 1.1;
    draw(|area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, (FONT, TITLE_SIZE))
            .margin(MARGIN)
            .margin_right(LEGEND_WIDTH)
            .x_label_area_size(X_LABEL_HEIGHT)
            .y_label_area_size(LATENCY_LABEL_WIDTH)
            .build_cartesian_2d(0.0..MAX_LATENCY_POSITION, y_range.clone().log_scale())?;
        chart
            .configure_mesh()
            .x_desc("answers that are quicker, %")
            .y_desc("latency, ms")
            .x_labels(5)
            .x_label_formatter(&|position| percentile_label(*position))
            .label_style((FONT, LABEL_SIZE))
            .draw()?;
        for (series, style) in styled(series, 2) {
            let points = series.points.iter().copied();
            let points = points.filter(|point| point.0 <= MAX_LATENCY_POSITION);
            chart.draw_series(LineSeries::new(points, style))?;
        }
        draw_legend(area, series)
    })
}

/// The range of one coordinate over all points; one unit wide if all are equal.
fn points_range(series: &[Series], coordinate: fn(&(f64, f64)) -> f64) -> Range<f64> {
    let points = series.iter().flat_map(|series| &series.points);
    let (min, max) = points
        .map(coordinate)
        .filter(|value| value.is_finite())
        .fold((f64::INFINITY, f64::NEG_INFINITY), |(min, max), value| {
            (min.min(value), max.max(value))
        });
    if min < max {
        min..max
    } else if min.is_finite() {
        min - 0.5..min + 0.5
    } else {
        0.0..1.0
    }
}

/// The series with their colours, as lines of `width` pixels.
fn styled(series: &[Series], width: u32) -> impl Iterator<Item = (&Series, ShapeStyle)> {
    let colours = COLOURS.iter().cycle();
    let styles = colours.map(move |colour| colour.stroke_width(width));
    series.iter().zip(styles)
}

/// Draws colours and names to the right of the chart, where they cover nothing.
fn draw_legend(area: &Area, series: &[Series]) -> Result<(), DrawError> {
    let x = (SIZE.0 - LEGEND_WIDTH + 8) as i32;
    for (index, (series, style)) in styled(series, 3).enumerate() {
        let y = 60 + 24 * index as i32;
        area.draw(&PathElement::new([(x, y + 7), (x + 20, y + 7)], style))?;
        area.draw(&Text::new(
            series.name.clone(),
            (x + 26, y),
            (FONT, LABEL_SIZE),
        ))?;
    }
    Ok(())
}

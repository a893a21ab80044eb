//! Pictures as SVG, drawn by `plotters`, and the page that holds them.

use ironmast_emulator::{COLUMNS, ServerReport};
use plotters::coord::Shift;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use thiserror::Error;

/// Size of a picture, in pixels.
const SIZE: (u32, u32) = (1000, 460);
/// Policies in the order of their colours: told apart by colour-blind readers too (Okabe and Ito's
/// palette).
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

/// One line of a picture.
pub(crate) struct Curve {
    /// What the legend calls it.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// A plot that could not be drawn.
#[derive(Debug, Error)]
#[error("a plot could not be drawn")]
pub(crate) struct PlotError(#[from] DrawError);

type DrawError = DrawingAreaErrorKind<std::io::Error>;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn draw(with: impl Fn(&Area) -> Result<(), DrawError>) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        with(&area)?;
        area.present()?;
    }
    Ok(svg)
}

fn range(points: impl Iterator<Item = f64>) -> (f64, f64) {
    let (least, most) = points
        .filter(|v| v.is_finite())
        .fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), v| {
            (a.min(v), b.max(v))
        });
    match least < most {
        true => (least, most),
        false if least.is_finite() => (least - 0.5, least + 0.5),
        false => (0.0, 1.0),
    }
}

fn all(curves: &[Curve], pick: fn(&(f64, f64)) -> f64) -> (f64, f64) {
    range(curves.iter().flat_map(|c| c.points.iter().map(pick)))
}

/// Each curve with its colour, as a line of that width.
fn styled(curves: &[Curve], width: u32) -> impl Iterator<Item = (&Curve, ShapeStyle)> {
    curves
        .iter()
        .zip(COLOURS.iter().cycle())
        .map(move |(curve, colour)| (curve, colour.stroke_width(width)))
}

/// Lines over plain axes.
pub(crate) fn curves(
    title: &str,
    (x_name, y_name): (&str, &str),
    curves: &[Curve],
    y: Option<(f64, f64)>,
) -> Result<String, PlotError> {
    let (x0, x1) = all(curves, |p| p.0);
    let (y0, y1) = y.unwrap_or_else(|| all(curves, |p| p.1));
    draw(|area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .margin_right(LEGEND)
            .x_label_area_size(44)
            .y_label_area_size(64)
            .build_cartesian_2d(x0..x1, y0..y1)?;
        chart
            .configure_mesh()
            .x_desc(x_name)
            .y_desc(y_name)
            .label_style(("sans-serif", 14))
            .draw()?;
        for (curve, style) in styled(curves, 2) {
            chart.draw_series(LineSeries::new(curve.points.iter().copied(), style))?;
        }
        legend(area, curves)
    })
}

/// Room for the legend, to the right of a picture.
const LEGEND: u32 = 150;

/// Colours and names, beside the picture so that it hides nothing.
fn legend(area: &Area, curves: &[Curve]) -> Result<(), DrawError> {
    let x = (SIZE.0 - LEGEND + 8) as i32;
    for (i, (curve, style)) in styled(curves, 3).enumerate() {
        let y = 60 + 24 * i as i32;
        area.draw(&PathElement::new([(x, y + 7), (x + 20, y + 7)], style))?;
        area.draw(&Text::new(
            curve.name.clone(),
            (x + 26, y),
            ("sans-serif", 14),
        ))?;
    }
    Ok(())
}

/// A percentile's place on an axis that gives each further nine the same room: 90 % is 1, 99 % is
/// 2.
pub(crate) fn nines(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).log10()
}

/// Latency over the share of answers that are quicker, up to 99.99 %.
pub(crate) fn latency(title: &str, curves: &[Curve]) -> Result<String, PlotError> {
    let (y0, y1) = all(curves, |p| p.1);
    draw(|area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .margin_right(LEGEND)
            .x_label_area_size(44)
            .y_label_area_size(72)
            .build_cartesian_2d(0.0..4.0, (y0.max(0.01)..y1.max(0.02) * 1.1).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("answers that are quicker, %")
            .y_desc("latency, ms")
            .x_labels(5)
            .x_label_formatter(&|x| {
                format!("{:.4}", 100.0 * (1.0 - 10f64.powf(-x)))
                    .trim_end_matches('0')
                    .trim_end_matches('.')
                    .to_string()
            })
            .label_style(("sans-serif", 14))
            .draw()?;
        for (curve, style) in styled(curves, 2) {
            let points = curve.points.iter().copied().filter(|p| p.0 <= 4.0);
            chart.draw_series(LineSeries::new(points, style))?;
        }
        legend(area, curves)
    })
}

/// White where a server is idle, through blue, to red where all its cores are in use; grey where it
/// is down.
fn shade(busy: f32) -> RGBColor {
    if busy.is_nan() {
        return RGBColor(205, 205, 205);
    }
    let stops = [
        (255.0, 255.0, 255.0),
        (140.0, 190.0, 235.0),
        (20.0, 90.0, 170.0),
        (200.0, 30.0, 40.0),
    ];
    let at = f64::from(busy.clamp(0.0, 1.0)) * 3.0;
    let (from, part) = ((at as usize).min(2), at - (at as usize).min(2) as f64);
    let (a, b) = (stops[from], stops[from + 1]);
    let mix = |a: f64, b: f64| (a + (b - a) * part) as u8;
    RGBColor(mix(a.0, b.0), mix(a.1, b.1), mix(a.2, b.2))
}

/// Rows of the heat map at most: more servers are drawn as means of neighbours.
const ROWS: usize = 100;

/// Servers over time, one row a place, in the order of their zones.
pub(crate) fn heat(
    title: &str,
    length_s: f64,
    servers: &[ServerReport],
) -> Result<String, PlotError> {
    let places = servers
        .iter()
        .map(|s| s.position as usize + 1)
        .max()
        .unwrap_or(1);
    // A place shows whoever stands there; each started later than the one before.
    let mut grid = vec![[f32::NAN; COLUMNS]; places];
    let mut zones = vec![String::new(); places];
    for server in servers {
        let place = server.position as usize;
        zones[place].clone_from(&server.zone);
        let first = COLUMNS.saturating_sub(server.busy.len());
        for (column, busy) in server.busy.iter().enumerate().filter(|(_, b)| !b.is_nan()) {
            if let Some(cell) = grid[place].get_mut(first + column) {
                *cell = *busy;
            }
        }
    }
    let mut order: Vec<usize> = (0..places).collect();
    order.sort_by_key(|p| (zones[*p].clone(), *p));
    let rows = places.min(ROWS);
    let step = length_s / COLUMNS as f64;
    draw(|area| {
        let (main, key) = area.split_horizontally(900);
        let mut chart = ChartBuilder::on(&main)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(44)
            .y_label_area_size(90)
            .build_cartesian_2d(0.0..length_s, 0.0..rows as f64)?;
        let of_row = |row: usize| row * places / rows..((row + 1) * places / rows);
        let name = |y: f64| {
            let row = (y as usize).min(rows - 1);
            format!(
                "{} {}",
                zones[order[of_row(row).start]],
                order[of_row(row).start]
            )
        };
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("time, s")
            .y_desc("zone and place of a server")
            .y_labels(rows.min(12))
            .y_label_formatter(&|y| name(*y))
            .label_style(("sans-serif", 13))
            .draw()?;
        for (row, column) in (0..rows).flat_map(|row| (0..COLUMNS).map(move |column| (row, column)))
        {
            let cells = of_row(row)
                .map(|i| grid[order[i]][column])
                .filter(|b| !b.is_nan());
            let (sum, count) = cells.fold((0.0, 0), |(s, n), b| (s + b, n + 1));
            let busy = if count > 0 {
                sum / count as f32
            } else {
                f32::NAN
            };
            let (x, y) = (column as f64 * step, row as f64);
            let cell = Rectangle::new([(x, y), (x + step, y + 1.0)], shade(busy).filled());
            chart.draw_series(std::iter::once(cell))?;
        }
        let text = |text: &str, y: i32| Text::new(text.to_string(), (34, y), ("sans-serif", 13));
        for i in 0..=20 {
            let y = 360 - i * 14;
            key.draw(&Rectangle::new(
                [(10, y), (28, y + 14)],
                shade(i as f32 / 20.0).filled(),
            ))?;
        }
        key.draw(&Rectangle::new(
            [(10, 390), (28, 404)],
            shade(f32::NAN).filled(),
        ))?;
        for (what, y) in [
            ("100 %", 80),
            ("50 %", 220),
            ("0 %", 360),
            ("down", 390),
            ("cores in use", 54),
        ] {
            key.draw(&text(what, y))?;
        }
        Ok(())
    })
}

/// One part of the page.
pub(crate) struct Section {
    /// Its heading.
    pub title: String,
    /// What is to be known of the table.
    pub note: String,
    /// The table's head.
    pub head: Vec<String>,
    /// The table.
    pub rows: Vec<Vec<String>>,
    /// Pictures, as SVG.
    pub pictures: Vec<String>,
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// One page with everything in it: no other file is needed to read it.
pub(crate) fn page(title: &str, sections: &[Section]) -> String {
    let row = |cells: &[String], tag: &str| {
        let cells: String = cells
            .iter()
            .map(|c| format!("<{tag}>{}</{tag}>", escape(c)))
            .collect();
        format!("<tr>{cells}</tr>\n")
    };
    let mut html = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>\n<style>\n\
         body {{ font: 16px sans-serif; max-width: 1040px; margin: 2em auto; padding: 0 1em; color: #222 }}\n\
         table {{ border-collapse: collapse; margin: 1em 0 }} td, th {{ border: 1px solid #bbb; \
         padding: 4px 10px; text-align: left }} th {{ background: #eee }}\n\
         svg {{ max-width: 100%; height: auto; margin: 0.5em 0 }}\n</style></head><body>\n<h1>{0}</h1>\n",
        escape(title)
    );
    for section in sections {
        html += &format!(
            "<h2>{}</h2>\n<p>{}</p>\n<table>\n",
            escape(&section.title),
            escape(&section.note)
        );
        html += &row(&section.head, "th");
        html.extend(section.rows.iter().map(|cells| row(cells, "td")));
        html += "</table>\n";
        html.extend(section.pictures.iter().map(|svg| format!("{svg}\n")));
    }
    html + "</body></html>\n"
}

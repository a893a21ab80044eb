//! A heat map of the servers' load over time.

use ironmast_emulator::{COLUMNS, ServerReport};
use plotters::prelude::*;

use super::{Area, ChartError, DrawError, FONT, MARGIN, TITLE_SIZE, X_LABEL_HEIGHT, draw};

/// The maximum number of rows. With more servers, a row is the mean of neighbouring servers.
const MAX_ROWS: usize = 100;

/// The x position at which the chart ends and the colour key begins, in pixels.
const KEY_START: u32 = 900;

/// The width of the row labels, in pixels.
const Y_LABEL_WIDTH: u32 = 90;

/// The maximum number of row labels.
const MAX_Y_LABELS: usize = 12;

/// The size of labels, in pixels.
const LABEL_SIZE: u32 = 13;

/// The number of steps in the colour key.
const KEY_STEPS: i32 = 20;

/// The height of a step in the colour key, in pixels.
const KEY_STEP_HEIGHT: i32 = 14;

/// The y position of the key's lowest step (0 %), in pixels.
const KEY_BOTTOM: i32 = 360;

/// The y position of the key's field for servers that are down, in pixels.
const KEY_DOWN: i32 = 390;

/// The colour of a server that is down.
const DOWN: RGBColor = RGBColor(205, 205, 205);

/// The colours from idle to fully busy, at equal distances, as (red, green, blue).
const SCALE: [(f64, f64, f64); 4] = [
    (255.0, 255.0, 255.0),
    (140.0, 190.0, 235.0),
    (20.0, 90.0, 170.0),
    (200.0, 30.0, 40.0),
];

/// The busy share of the cores (0 to 1) in each column of time, by position of the server; NaN
/// while no server runs at the position.
struct Grid {
    cells: Vec<[f32; COLUMNS]>,
    zones: Vec<String>,
    /// The positions, ordered by zone.
    order: Vec<usize>,
}

impl Grid {
    /// The grid of some servers. Several may have run at one position, each started after the one
    /// before; a cell shows the last that ran then.
    fn new(servers: &[ServerReport]) -> Grid {
        let positions = servers.iter().map(|server| server.position as usize + 1);
        let positions = positions.max().unwrap_or(1);
        let mut cells = vec![[f32::NAN; COLUMNS]; positions];
        let mut zones = vec![String::new(); positions];
        for server in servers {
            let position = server.position as usize;
            zones[position].clone_from(&server.zone);
            // The series of a server begins at its start and ends with the run.
            let first = COLUMNS.saturating_sub(server.busy.len());
            let cells = cells[position][first..].iter_mut();
            for (cell, busy) in cells.zip(&server.busy).filter(|(_, busy)| !busy.is_nan()) {
                *cell = *busy;
            }
        }
        let mut order: Vec<usize> = (0..positions).collect();
        order.sort_by_key(|position| (zones[*position].clone(), *position));
        Grid {
            cells,
            zones,
            order,
        }
    }

    /// The number of rows that are drawn.
    fn rows(&self) -> usize {
        self.order.len().min(MAX_ROWS)
    }

    /// The positions that a row shows.
    fn positions(&self, row: usize) -> &[usize] {
        let (positions, rows) = (self.order.len(), self.rows());
        &self.order[row * positions / rows..(row + 1) * positions / rows]
    }

    /// The label of a row: the zone and the first position.
    fn label(&self, row: usize) -> String {
        let position = self.positions(row)[0];
        format!("{} {position}", self.zones[position])
    }

    /// The mean busy share of a row's servers in a column; NaN if none ran.
    fn busy(&self, row: usize, column: usize) -> f32 {
        let cells = self.positions(row).iter();
        let running = cells
            .map(|position| self.cells[*position][column])
            .filter(|busy| !busy.is_nan());
        let (sum, count) = running.fold((0.0, 0), |(sum, count), busy| (sum + busy, count + 1));
        if count > 0 {
            sum / count as f32
        } else {
            f32::NAN
        }
    }
}

/// The colour of a busy share: from white for an idle server, through blue, to red for one with all
/// cores in use; grey for one that is down.
fn colour(busy: f32) -> RGBColor {
    if busy.is_nan() {
        return DOWN;
    }
    let scaled = f64::from(busy.clamp(0.0, 1.0)) * (SCALE.len() - 1) as f64;
    let step = (scaled as usize).min(SCALE.len() - 2);
    let fraction = scaled - step as f64;
    let (from, to) = (SCALE[step], SCALE[step + 1]);
    let mix = |from: f64, to: f64| (from + (to - from) * fraction) as u8;
    RGBColor(mix(from.0, to.0), mix(from.1, to.1), mix(from.2, to.2))
}

/// A heat map of the servers over a run of `length_s` seconds: one row for each position, ordered
/// by zone.
///
/// # Errors
/// The chart could not be drawn.
pub(crate) fn server_heat_map(
    title: &str,
    length_s: f64,
    servers: &[ServerReport],
) -> Result<String, ChartError> {
    let grid = Grid::new(servers);
    draw(|area| {
        let (map, key) = area.split_horizontally(KEY_START);
        draw_map(&map, title, length_s, &grid)?;
        draw_key(&key)
    })
}

fn draw_map(area: &Area, title: &str, length_s: f64, grid: &Grid) -> Result<(), DrawError> {
    let rows = grid.rows();
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, TITLE_SIZE))
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(Y_LABEL_WIDTH)
        .build_cartesian_2d(0.0..length_s, 0.0..rows as f64)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("time, s")
        .y_desc("zone and place of a server")
        .y_labels(rows.min(MAX_Y_LABELS))
        .y_label_formatter(&|y| grid.label((*y as usize).min(rows - 1)))
        .label_style((FONT, LABEL_SIZE))
        .draw()?;
    let width_s = length_s / COLUMNS as f64;
    for (row, column) in (0..rows).flat_map(|row| (0..COLUMNS).map(move |column| (row, column))) {
        let (x, y) = (column as f64 * width_s, row as f64);
        let style = colour(grid.busy(row, column)).filled();
        let cell = Rectangle::new([(x, y), (x + width_s, y + 1.0)], style);
        chart.draw_series(std::iter::once(cell))?;
    }
    Ok(())
}

fn draw_key(area: &Area) -> Result<(), DrawError> {
    let field = |y: i32, busy: f32| {
        Rectangle::new([(10, y), (28, y + KEY_STEP_HEIGHT)], colour(busy).filled())
    };
    for step in 0..=KEY_STEPS {
        let y = KEY_BOTTOM - step * KEY_STEP_HEIGHT;
        area.draw(&field(y, step as f32 / KEY_STEPS as f32))?;
    }
    area.draw(&field(KEY_DOWN, f32::NAN))?;
    for (label, y) in [
        ("100 %", 80),
        ("50 %", 220),
        ("0 %", KEY_BOTTOM),
        ("down", KEY_DOWN),
        ("cores in use", 54),
    ] {
        area.draw(&Text::new(label.to_string(), (34, y), (FONT, LABEL_SIZE)))?;
    }
    Ok(())
}

//! HTML reports: tables and charts in one file.

use crate::table::Table;

/// One section of the report.
pub(crate) struct Section {
    /// The heading.
    pub title: String,
    /// A sentence above the table on how to read it.
    pub note: String,
    /// The table.
    pub table: Table,
    /// The charts, as SVG.
    pub charts: Vec<String>,
}

/// A complete HTML page with these sections. Charts are inline, so it refers to no other file.
pub(crate) fn html_report(title: &str, sections: &[Section]) -> String {
    let mut html = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>\n<style>\n\
         body {{ font: 16px sans-serif; max-width: 1040px; margin: 2em auto; padding: 0 1em; color: #222 }}\n\
         table {{ border-collapse: collapse; margin: 1em 0 }} td, th {{ border: 1px solid #bbb; \
         padding: 4px 10px; text-align: left }} th {{ background: #eee }}\n\
         svg {{ max-width: 100%; height: auto; margin: 0.5em 0 }}\n</style></head><body>\n<h1>{0}</h1>\n",
        escape(title)
    );
    html.extend(sections.iter().map(section_html));
    html + "</body></html>\n"
}

fn section_html(section: &Section) -> String {
    let mut html = format!(
        "<h2>{}</h2>\n<p>{}</p>\n<table>\n",
        escape(&section.title),
        escape(&section.note)
    );
    html += &row_html(&section.table.header, "th");
    let rows = section.table.rows.iter();
    html.extend(rows.map(|cells| row_html(cells, "td")));
    html += "</table>\n";
    html.extend(section.charts.iter().map(|svg| format!("{svg}\n")));
    html
}

/// A row of a table whose cells are elements of type `tag`.
fn row_html(cells: &[String], tag: &str) -> String {
    let cells = cells
        .iter()
        .map(|cell| format!("<{tag}>{}</{tag}>", escape(cell)));
    format!("<tr>{}</tr>\n", cells.collect::<String>())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

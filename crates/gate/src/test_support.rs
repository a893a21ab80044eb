//! Fixtures that several modules' unit tests share.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};

/// Builds a header map from name and value pairs; a name may be repeated.
pub(crate) fn header_map(lines: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a header name");
        headers.append(name, HeaderValue::from_str(value).expect("a header value"));
    }
    headers
}

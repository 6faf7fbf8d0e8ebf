//! Settings of a daemon on the users' platform.

use shallotdeal::mesh::settings::MeshSettings;

/// Settings with this line in addition.
fn settings(line: &str) -> Result<MeshSettings, String> {
    let text = format!(
        "[mesh]\nname = vm\nregion = r\ndata-centre = d\nlisten-clients = 127.0.0.1:1\n\
         listen-control = 127.0.0.1:2\nlisten-ready = 127.0.0.1:3\nlisten-calls = 127.0.0.1:4\n\
         listen-metrics = 127.0.0.1:5\nworker = 127.0.0.1:6\nservice = s\nstore = 127.0.0.1:7\n\
         lease-min-ms = 1000\ngrace-s = 6\nretry-ratio = 0.2\nretry-window-s = 10\n\
         log-level = info\n{line}\n"
    );
    MeshSettings::try_from(text.as_str()).map_err(|errors| errors.to_string())
}

#[test]
fn the_propagation_time_is_optional() {
    let read = |line| settings(line).map(|settings| settings.propagation_ms);
    assert_eq!(read(""), Ok(2_000));
    assert_eq!(read("propagation-ms ="), Ok(2_000));
    assert_eq!(read("propagation-ms = 3000"), Ok(3_000));
    assert_eq!(read("propagation-ms = 1e300"), Ok(u64::MAX));
}

#[test]
fn an_unusable_propagation_time_is_an_error() {
    for value in ["0", "-5", "soon", "inf", "NaN"] {
        let error = settings(&format!("propagation-ms = {value}")).unwrap_err();
        assert!(error.contains("propagation-ms"), "{value}: {error}");
    }
}

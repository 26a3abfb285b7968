//! Tests of the instance list client against a server in the same process.

use base::Name;
use plat::Error;
use plat::Instance;
use plat::Instances;
use plat::Listing;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

async fn fetch(body: &str) -> Result<Listing, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1024];
        let size = stream.read(&mut request).await.expect("a request");
        assert!(request[..size].starts_with(b"GET /v1/instances HTTP/1.1\r\n"));
        stream.write_all(answer.as_bytes()).await.expect("an answer");
    });
    let result = Instances::new(address, "/v1/instances").fetch().await;
    tasks.join_all().await;
    result
}

#[tokio::test]
async fn instances_and_leaving_runners_are_returned() {
    let body = r#"{"instances":[
        {"name":"r1","callers":"127.0.0.1:1","peers":"127.0.0.1:2","zone":"z1","region":"north","state":"live"},
        {"name":"r2","callers":"127.0.0.1:3","peers":"127.0.0.1:4","zone":"z2","region":"north","state":"leaving"}],
        "runners":[{"name":"e1","state":"live"},{"name":"e2","state":"leaving"}]}"#;
    let instance = |name, port, zone, leaving| Instance {
        name: Name::new(name),
        callers: ([127, 0, 0, 1], port).into(),
        peers: ([127, 0, 0, 1], port + 1).into(),
        zone: Name::new(zone),
        region: Name::new("north"),
        leaving,
    };
    let expected = Listing {
        instances: vec![instance("r1", 1, "z1", false), instance("r2", 3, "z2", true)],
        leaving_runners: vec![Name::new("e2")],
    };
    assert_eq!(fetch(body).await, Ok(expected));
}

#[tokio::test]
async fn a_list_with_an_unknown_state_is_malformed() {
    let body = r#"{"instances":[{"name":"r1","callers":"127.0.0.1:1","peers":"127.0.0.1:2","zone":"z","region":"r","state":"gone"}]}"#;
    assert_eq!(fetch(body).await, Err(Error::Malformed));
}

//! Guards against platform answers that block a host, exceed the size limit or are
//! misread, and against a failed address that keeps a host from using another one.

mod support;

use core::time;
use rstest::rstest;
use std::net;
use support::in_time;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};

/// Starts a server that gives every request the same answer, and returns its
/// address. With `None` it never answers.
async fn serve(answer: Option<(u16, String)>) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, answer.clone()));
        }
    });
    address
}

async fn respond(stream: tokio::net::TcpStream, answer: Option<(u16, String)>) {
    let mut stream = tokio::io::BufReader::new(stream);
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if stream.read_line(&mut line).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let Some((status, body)) = answer else {
        return std::future::pending().await;
    };
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body.as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// Starts a server that sends the same bytes to each connection.
async fn send(bytes: String) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(bytes.as_bytes()).await;
        }
    });
    address
}

fn client(addresses: Vec<net::SocketAddr>) -> peer::platform::Client {
    let mut options = peer::platform::Options::new(addresses);
    options.timeout = time::Duration::from_millis(300);
    options.retry_delay_max = time::Duration::from_millis(5);
    peer::platform::Client::new(options)
}

async fn config(answer: Option<(u16, String)>) -> Result<Option<u64>, peer::platform::Error> {
    let client = client(vec![serve(answer).await]);
    let read = in_time(client.config(3, time::Duration::ZERO)).await;
    read.map(|config| config.map(|config| config.revision))
}

#[tokio::test]
async fn each_failure_has_its_error() {
    use peer::platform::Error;

    let good = r#"{"revision":4,"files":{"a.ini":"[host]\n"}}"#.to_owned();
    assert_eq!(config(Some((200, good.clone()))).await, Ok(Some(4)));
    assert_eq!(config(Some((204, String::new()))).await, Ok(None));
    assert_eq!(config(Some((500, good))).await, Err(Error::Status(500)));
    assert_eq!(config(Some((200, "{".into()))).await, Err(Error::Malformed));
    assert_eq!(config(None).await, Err(Error::Timeout));
    let text = "x".repeat(wire::limit::CONFIGURATION_BYTES);
    let large = format!(r#"{{"revision":4,"files":{{"a":"{text}"}}}}"#);
    assert_eq!(config(Some((200, large))).await, Err(Error::TooLarge));
    let flood = "x".repeat(5 * wire::limit::CONFIGURATION_BYTES);
    assert_eq!(config(Some((200, flood))).await, Err(Error::TooLarge));
    let none = client(Vec::new());
    assert_eq!(none.hosts().await, Err(Error::NoAddress));
}

// Guards against a configuration that is taken from what is no answer.
#[rstest]
#[case::status_000("HTTP/1.1 000 None\r\n", 0)]
#[case::status_101("HTTP/1.1 101 Switching Protocols\r\n", 0)]
#[case::status_600("HTTP/1.1 600 None\r\n", 0)]
#[case::blank_in_a_name("HTTP/1.1 200 OK\r\nx bad: 1\r\n", 0)]
#[case::control_in_a_name("HTTP/1.1 200 OK\r\nx\u{1}bad: 1\r\n", 0)]
#[case::cut_in_the_body("HTTP/1.1 200 OK\r\n", 1)]
#[case::cut_in_the_head("HTTP/1.1 200 OK\r\n", 45)]
#[tokio::test]
async fn what_is_no_answer_has_no_configuration(#[case] head: &str, #[case] missing: usize) {
    let body = r#"{"revision":4,"files":{"a.ini":"[host]\n"}}"#;
    let mut bytes = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    bytes.truncate(bytes.len() - missing);
    let client = client(vec![send(bytes).await]);
    let read = in_time(client.config(3, time::Duration::ZERO)).await;
    assert!(read.is_err(), "{read:?}");
}

#[tokio::test]
async fn unreachable_and_unresponsive_addresses_are_skipped() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let closed = listener.local_addr().expect("address");
    drop(listener);
    let hosts = r#"{"hosts":[
        {"name":"h1","caller":"10.0.0.1:80","peer":"10.0.0.1:7401","data_centre":"d","region":"r","state":"live"},
        {"name":"h2","caller":"10.0.0.2:80","peer":"10.0.0.2:7401","data_centre":"d","region":"r","state":"leaving","more":1}
    ]}"#;
    let live = serve(Some((200, hosts.into()))).await;
    let unresponsive = serve(None).await;
    let client = client(vec![closed, unresponsive, live]);
    for _ in 0..3 {
        let hosts = in_time(client.hosts()).await.expect("hosts");
        assert_eq!(hosts.len(), 2);
        assert_eq!(hosts[0].state, peer::platform::State::Live);
        assert_eq!(hosts[1].state, peer::platform::State::Leaving);
    }
}

fn nested(open: &str, close: &str) -> String {
    open.repeat(100_000) + "1" + &close.repeat(100_000)
}

// Guards against a list that is not followed because of one entry of another writer.
#[rstest]
#[case::nested_lists(nested("[", "]"))]
#[case::nested_tables(nested("{\"a\":", "}"))]
#[case::number_beyond_floats(r#"{"name":1e999}"#.to_owned())]
#[case::port_out_of_range(r#"{"name":"h0","caller":"10.0.0.9:99999","peer":"10.0.0.9:1","data_centre":"d","region":"r","state":"live"}"#.to_owned())]
#[case::missing_fields(r#"{"name":"h0"}"#.to_owned())]
#[case::unknown_state(r#"{"name":"h0","caller":"10.0.0.9:9","peer":"10.0.0.9:1","data_centre":"d","region":"r","state":"asleep"}"#.to_owned())]
#[case::not_a_table("7".to_owned())]
#[tokio::test]
async fn an_odd_entry_does_not_hide_the_other_hosts(#[case] odd: String) {
    let entry = |name: &str| {
        format!(
            r#"{{"name":"{name}","caller":"10.0.0.1:80","peer":"10.0.0.1:7401","data_centre":"d","region":"r","state":"live"}}"#
        )
    };
    let (one, two) = (entry("h1"), entry("h2"));
    for list in [
        format!("{odd},{one},{two}"),
        format!("{one},{odd},{two}"),
        format!("{one},{two},{odd}"),
    ] {
        let body = format!(r#"{{"hosts":[{list}]}}"#);
        let client = client(vec![serve(Some((200, body))).await]);
        let hosts = in_time(client.hosts()).await.expect("hosts");
        let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        assert_eq!(names, ["h1", "h2"]);
    }
}

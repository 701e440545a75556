//! What callers of every kind meet at the door, over loopback sockets.

use std::{net::SocketAddr, sync::Mutex, time::Duration};
use tallygauge_auth::{Claims, KeyFile, KeyRing, Networks, new_key_line};
use tallygauge_ops::{Access, Answer, Backend, Caller, Metrics, Operation, Performing, Share};
use tallygauge_wire::ops::Role;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Says who asked.
struct Echo(&'static Mutex<bool>);

impl Backend for Echo {
    fn busy(&self) -> bool {
        *self.0.lock().unwrap()
    }

    fn perform(&self, operation: Operation, caller: Caller) -> Performing<'_> {
        let text = format!("{} {operation:?}", caller.name);
        Box::pin(async move { Answer::no(200, &text) })
    }
}

struct House {
    addr: SocketAddr,
    ring: KeyRing,
    dir: tempfile::TempDir,
    busy: &'static Mutex<bool>,
}

async fn house(networks: &str, calls_per_s: f64) -> House {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("keys");
    let line = new_key_line("k1").unwrap();
    std::fs::write(&path, &line).unwrap();
    let access = Access::new(Networks::parse(networks).unwrap(), KeyFile::new(path));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let busy: &'static Mutex<bool> = Box::leak(Box::default());
    let share = Share::new(0.5, calls_per_s);
    tokio::spawn(tallygauge_ops::serve(
        listener,
        Echo(busy),
        access,
        share,
        Metrics::new(),
    ));
    House {
        addr,
        ring: KeyRing::parse(&line).unwrap(),
        dir,
        busy,
    }
}

impl House {
    fn token(&self, role: Role) -> String {
        Claims::new("efua", role, u64::MAX)
            .unwrap()
            .sign(&self.ring)
    }

    /// Sends bytes; all that comes back before the other side closes or a while
    /// has passed.
    async fn say(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.addr).await.unwrap();
        let _ = stream.write_all(text.as_bytes()).await;
        let mut out = Vec::new();
        let read = stream.read_to_end(&mut out);
        let _ = tokio::time::timeout(Duration::from_millis(300), read).await;
        String::from_utf8_lossy(&out).into_owned()
    }

    async fn ask(&self, token: &str, method: &str, path: &str, body: &str) -> (u16, String) {
        let answer = self
            .say(&format!(
                "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {token}\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            ))
            .await;
        let status = answer.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
        let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
        (status, body.to_string())
    }
}

#[tokio::test]
async fn a_refused_caller_learns_nothing_of_what_exists() {
    let house = house("127.0.0.0/8", 100.0).await;
    let other = KeyRing::parse(&new_key_line("k1").unwrap()).unwrap();
    let forged = Claims::new("efua", Role::Operate, u64::MAX)
        .unwrap()
        .sign(&other);
    let ended = Claims::new("efua", Role::See, 1).unwrap().sign(&house.ring);
    let mut met = std::collections::BTreeSet::new();
    for token in ["", "x", &forged, &ended] {
        for (method, path) in [
            ("GET", "/v1/jobs"),
            ("GET", "/v1/nothing"),
            ("PUT", "/v1/drains/zone/a"),
            ("GET", "/metrics"),
            ("GET", "/v1/jobs/req-1?x=%00"),
        ] {
            met.insert(house.ask(token, method, path, "").await);
        }
    }
    assert_eq!(met.len(), 1, "{met:?}");
    assert_eq!(met.first().unwrap().0, 401);
    let (status, text) = house
        .ask(&house.token(Role::See), "GET", "/v1/teams", "")
        .await;
    assert_eq!((status, text.contains("efua Teams")), (200, true));
}

#[tokio::test]
async fn callers_from_other_networks_are_closed_without_a_word() {
    let house = house("10.0.0.0/8", 100.0).await;
    let token = house.token(Role::Operate);
    assert_eq!(
        house.ask(&token, "GET", "/v1/teams", "").await,
        (0, String::new())
    );
}

#[tokio::test]
async fn a_role_too_low_is_told_which_would_do() {
    let house = house("127.0.0.1", 100.0).await;
    for (role, method, path, body, status) in [
        (Role::See, "GET", "/v1/jobs", "", 200),
        (Role::See, "POST", "/v1/jobs", "{}", 403),
        (Role::Submit, "POST", "/v1/jobs", "{}", 200),
        (Role::Submit, "PUT", "/v1/drains/zone/a", "{}", 403),
        (Role::Operate, "PUT", "/v1/drains/zone/a", "{}", 200),
        (Role::Operate, "PUT", "/v1/drains/zone/a", "{", 400),
        (Role::Operate, "GET", "/v1/nothing", "", 404),
    ] {
        let (met, text) = house.ask(&house.token(role), method, path, body).await;
        assert_eq!(met, status, "{role:?} {method} {path}: {text}");
    }
}

#[tokio::test]
async fn keys_are_replaced_without_a_restart() {
    let house = house("127.0.0.1", 100.0).await;
    let token = house.token(Role::See);
    assert_eq!(house.ask(&token, "GET", "/v1/teams", "").await.0, 200);
    let path = house.dir.path().join("keys");
    let line = new_key_line("k2").unwrap();
    let new = Claims::new("esi", Role::See, u64::MAX).unwrap();
    let new = new.sign(&KeyRing::parse(&line).unwrap());
    // Torn, it changes nothing; whole, it holds a second later at the latest.
    std::fs::write(&path, "key k").unwrap();
    tokio::time::sleep(Duration::from_millis(1100)).await;
    assert_eq!(house.ask(&token, "GET", "/v1/teams", "").await.0, 200);
    std::fs::write(&path, line).unwrap();
    tokio::time::sleep(Duration::from_millis(1100)).await;
    assert_eq!(house.ask(&token, "GET", "/v1/teams", "").await.0, 401);
    assert_eq!(house.ask(&new, "GET", "/v1/teams", "").await.0, 200);
}

#[tokio::test]
async fn bodies_and_callers_without_end_are_bounded() {
    let house = house("127.0.0.1", 4.0).await;
    let token = house.token(Role::Submit);
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let answer = house.say(&format!("{head}{}", chunk.repeat(8))).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let mut met = Vec::new();
    for _ in 0..30 {
        met.push(house.ask(&token, "GET", "/v1/teams", "").await.0);
    }
    assert!(met.contains(&200) && met.contains(&429), "{met:?}");
    *house.busy.lock().unwrap() = true;
    let answer = house.ask(&token, "GET", "/v1/teams", "").await;
    assert_eq!(answer.0, 503);
}

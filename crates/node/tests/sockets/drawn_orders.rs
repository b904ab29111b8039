//! Orders to one node, drawn from a seed: drain, activate, replacement, planned end and loss of a process.
//!
//! Judged from outside: while the node is in service its clients stay and `PING` hears `PONG`; 4 s after an order to drain
//! no process of it holds a client; and no connection ends without `MOVE`.

use std::ops::Range;
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use test_case::test_case;

use crate::PATIENCE;
use crate::admin::{call_admin_at, has_status};
use crate::peers::serve_host;
use crate::world::World;

/// Operators check a drained node after so long.
const DRAIN_LIMIT: Duration = Duration::from_secs(4);

/// A drain is awaited to its limit from here on. No order takes longer than the rest.
const LAST_ORDER_IN_DRAIN: Duration = Duration::from_secs(3);

/// What a node answers on loopback has come by then.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// The most processes of the node at a time.
const MAX_PROCESSES: usize = 3;

const ORDERS: u32 = 25;

/// A client that is rejected comes again when it is told to, so often at the most.
const MAX_TRIES: u32 = 5;

struct Client {
    name: String,
    /// The process that holds it: its place among those that run, the oldest first.
    process: usize,
}

struct DrawnNode {
    world: World,
    random: WyRand,
    clients: Vec<Client>,
    opened: u32,
    /// When the order to drain was given; `None` while the node is in service.
    drained_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
enum Order {
    Open,
    Replace,
    EndPredecessor,
    KillSuccessor,
    Drain,
    Activate,
    Pause,
}

impl DrawnNode {
    fn start(seed: u64) -> DrawnNode {
        let mut world = World::start(&["hosts=a", "guard=1500", "load=ignored"]);
        let host = world.hosts.remove("a").unwrap();
        std::thread::spawn(move || serve_host(&host));
        world.await_pong();
        DrawnNode { world, random: WyRand::new_seed(seed), clients: vec![], opened: 0, drained_at: None }
    }

    fn draw_order(&mut self) -> Order {
        let orders = [
            Order::Open,
            Order::Open,
            Order::Open,
            Order::Replace,
            Order::Replace,
            Order::EndPredecessor,
            Order::EndPredecessor,
            Order::KillSuccessor,
            Order::Drain,
            Order::Drain,
            Order::Activate,
            Order::Pause,
        ];
        orders[self.random.generate_range(0..orders.len())]
    }

    fn carry_out(&mut self, order: Order) {
        println!("{order:?}, {} clients, {} before", self.clients.len(), self.world.predecessors.len());
        let has_predecessor = !self.world.predecessors.is_empty();
        match order {
            Order::Open if self.drained_at.is_none() => self.open_client(),
            Order::Replace if self.world.predecessors.len() + 1 < MAX_PROCESSES => self.replace(),
            Order::EndPredecessor if has_predecessor => self.end_predecessor(),
            Order::KillSuccessor if has_predecessor => self.kill_successor(),
            Order::Drain => self.order_phase(true, false),
            Order::Activate => self.order_phase(false, false),
            _ => std::thread::sleep(Duration::from_millis(self.random.generate_range(10..700))),
        }
    }

    fn open_client(&mut self) {
        for _ in 0..MAX_TRIES {
            self.opened += 1;
            let name = self.opened.to_string();
            self.world.play_peer("client", &name, &["opens", "c=chat,d=1500"]);
            let answer = self.world.connection("client", &name).receive();
            if let Some(wait_ms) = answer.strip_prefix("BUSY ") {
                std::thread::sleep(Duration::from_millis(wait_ms.parse().unwrap()));
                continue;
            }
            assert_eq!(answer, format!("UP {name}"));
            return self.clients.push(Client { name, process: self.world.predecessors.len() });
        }
        panic!("rejected {MAX_TRIES} times");
    }

    /// Starts the next process. In half of the cases an order comes before it serves, to either of the two.
    fn replace(&mut self) {
        self.world.play_process(&["next"]);
        let has_order = self.random.generate_range(0..2_u32) == 0;
        if has_order {
            let is_drain = self.random.generate_range(0..2_u32) == 0;
            let is_at_predecessor = self.random.generate_range(0..2_u32) == 0;
            std::thread::sleep(Duration::from_millis(self.random.generate_range(0..30)));
            self.order_phase(is_drain, is_at_predecessor);
        }
        let predecessor = self.world.predecessors.last().unwrap().admin.address;
        let end = Instant::now() + PATIENCE;
        while !call_admin_at(predecessor, "GET", "/v1/readyz").unwrap().contains("\"replaced\"") {
            assert!(Instant::now() < end, "the successor does not serve");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Orders the node to drain, or to serve again. A process that is replaced refuses, and the next one is asked.
    fn order_phase(&mut self, is_drain: bool, is_at_predecessor: bool) {
        let path = if is_drain { "/v1/node/drain" } else { "/v1/node/activate" };
        println!("  {path}, at the predecessor: {is_at_predecessor}");
        let given_at = Instant::now();
        let predecessor = self.world.predecessors.last().filter(|_| is_at_predecessor);
        let is_done = predecessor.is_some_and(|predecessor| {
            has_status(&call_admin_at(predecessor.admin.address, "POST", path).unwrap(), "200")
        });
        if !is_done {
            self.world.play_admin(&["POST", path, "200"]);
        }
        if is_drain {
            self.drained_at.get_or_insert(given_at);
        } else if self.drained_at.take().is_some() {
            self.world.await_pong();
            assert!(given_at.elapsed() < Duration::from_secs(2), "PONG comes late");
            self.forget_moved_clients();
        }
    }

    /// The oldest process is told to end; operators end processes in the order of their start.
    fn end_predecessor(&mut self) {
        let mut process = self.world.predecessors.remove(0);
        process.signal(Signal::TERM);
        assert!(process.child.wait().unwrap().success());
        // What it held is now at its successor, which takes its place.
        for client in &mut self.clients {
            client.process = client.process.saturating_sub(1);
        }
    }

    /// The newest process is lost with all that it holds.
    fn kill_successor(&mut self) {
        let index = self.world.predecessors.len();
        self.world.play_process(&["next", "kill"]);
        self.clients.retain(|client| client.process != index);
        if self.drained_at.is_none() {
            self.world.await_pong();
        }
    }

    /// Clients may have been moved by a drain that was ended half way, but by nothing else.
    fn forget_moved_clients(&mut self) {
        std::thread::sleep(ANSWER_TIME);
        let world = &mut self.world;
        self.clients.retain(|client| match world.connection("client", &client.name).try_receive() {
            None => true,
            Some(line) => {
                assert_eq!(line, "MOVE", "client {}", client.name);
                false
            }
        });
    }

    fn check(&mut self) {
        match self.drained_at {
            None => self.check_in_service(),
            Some(drained_at) => {
                self.world.expect_unready();
                if drained_at.elapsed() > LAST_ORDER_IN_DRAIN {
                    std::thread::sleep(DRAIN_LIMIT.saturating_sub(drained_at.elapsed()));
                    self.forget_moved_clients();
                    let held: Vec<&str> = self.clients.iter().map(|client| client.name.as_str()).collect();
                    assert!(held.is_empty(), "held 4 s after the order to drain: {held:?}");
                    self.world.expect_unready();
                }
            }
        }
    }

    fn check_in_service(&mut self) {
        self.world.await_pong();
        for Client { name, .. } in &self.clients {
            self.world.play_peer("client", name, &["says", "M", name]);
            self.world.play_peer("client", name, &["hears", "M", name]);
        }
    }
}

/// Seeds from and to, in place of those of the ordinary run: `DRAWN_SEEDS=100..200`.
const SEEDS_VARIABLE: &str = "DRAWN_SEEDS";

const ORDINARY_SEEDS: Range<u64> = 0..8;

/// Lanes play at the same time; each plays the seeds of its own number, modulo the number of lanes.
const LANES: u64 = 4;

#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn drains_hold_and_no_client_is_cut_off_under_drawn_orders(lane: u64) {
    for seed in seeds().filter(|seed| seed % LANES == lane) {
        println!("seed {seed}");
        let mut node = DrawnNode::start(seed);
        for _ in 0..ORDERS {
            let order = node.draw_order();
            node.carry_out(order);
            node.check();
        }
    }
}

fn seeds() -> Range<u64> {
    let Ok(given) = std::env::var(SEEDS_VARIABLE) else { return ORDINARY_SEEDS };
    let (first, end) = given.split_once("..").unwrap();
    first.parse().unwrap()..end.parse().unwrap()
}

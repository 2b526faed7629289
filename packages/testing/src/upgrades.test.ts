import assert from 'node:assert/strict';
import { World, job, type Terms } from './index.js';
import { onEachDeployment } from './deployments.js';
import { idOf, keepsRules, running } from './story.js';

// Rolling upgrades, older and current versions side by side, that meet other faults. The
// times are those of both deployments.
const SEEDS = [1, 2, 3];
const LIMIT = 400_000;
/** How long a replaced process is away. */
const AWAY = 6000;
const BETWEEN = 10_000;
const FIRST_CHAIN = 101;
const LAST_CHAIN = 112;

interface Roll {
  world: World;
  /** Nodes in the order in which they are replaced; the one that led first is named. */
  order: string[];
  leader: string;
}

/** A cluster of the older version under load, with room for more. */
function olderCluster(terms: Terms, seed: number): World {
  const world = new World({
    seed,
    terms,
    capacity: 16,
    cpuLimit: 200,
    valueBytes: 16_384,
    txnOps: 12,
    next: { valueBytes: 2048, txnOps: 4 },
  });
  for (const n of world.nodes) {
    world.crash(n);
    world.bootOlder(n);
  }
  for (let i = 0; i < 8; i++) world.cloud.add(i % 2 ? 'a' : 'b');
  world.run(8000);
  for (let n = 1; n <= 6; n++) {
    world.submit(job(n, { batch: 4, expected_s: n % 2 ? 60 : 15 }), world.nodes[n % 3]!);
  }
  world.run(6000);
  assert.ok(running(world) > 0);
  return world;
}

/** Ends each process in turn; it comes back as the current version. */
function replaceAll({ world, order }: Roll, away = AWAY, between = BETWEEN): void {
  for (const [i, name] of order.entries()) {
    world.at(i * between, () => world.crash(name));
    world.at(i * between + away, () => world.boot(name));
  }
}

/** A user who repeats a submission until some node has taken it. */
function insist(world: World, n: number, over: Record<string, unknown>): void {
  if (world.checker.accepted(idOf(n))) return;
  const nodes = [...world.alive.keys()];
  const node = nodes[n % Math.max(1, nodes.length)];
  if (node !== undefined) world.submit(job(n, over), node);
  world.at(3000, () => insist(world, n, over));
}

/** Chains come once all nodes have the current version; some are cancelled at their head. */
function submitChains(world: World): void {
  for (let n = FIRST_CHAIN; n <= LAST_CHAIN; n++) {
    const waits = n % 4 === 1 ? [] : [idOf(n - 1)];
    const over = { batch: 2, expected_s: 5, waits_on: waits };
    const ready = () => {
      if (waits.every((id) => world.checker.accepted(id))) insist(world, n, over);
      else world.at(1000, ready);
    };
    world.at((n - FIRST_CHAIN) * 700, ready);
  }
}

/** Jobs of both kinds are over, or were cancelled, and every node says the same. */
function endsWell(world: World): void {
  world.calm();
  const jobs = [1, 2, 3, 4, 5, 6];
  for (let n = FIRST_CHAIN; n <= LAST_CHAIN; n++) jobs.push(n);
  const open = () => jobs.filter((n) => world.checker.final(idOf(n)) === null);
  const poll = () => {
    if (world.now() % 1000 === 0) {
      for (const n of open()) world.poll(idOf(n), world.nodes[n % 3]!);
    }
    return open().length === 0;
  };
  assert.ok(world.runUntil(poll, LIMIT), `jobs without an end: ${open().join(', ')}`);
  for (const n of jobs) for (const node of world.nodes) world.poll(idOf(n), node);
  world.run(world.terms.cancelWithin + 5000);
  assert.equal(running(world), 0);
  assert.deepEqual(world.checker.unserved(), []);
  keepsRules(world);
}

interface Meeting {
  name: string;
  /** Sets the faults off as the roll begins. */
  faults: (roll: Roll) => void;
  order?: (leader: string, others: string[]) => string[];
  away?: number;
}

const usualOrder = (leader: string, [b, c]: string[]): string[] => [b!, leader, c!];

const cancelElsewhere = (world: World, n: number): void => {
  const node = [...world.alive.keys()].find((name) => name !== world.leader());
  if (node !== undefined) world.cancel(idOf(n), node);
};

const MEETINGS: Meeting[] = [
  {
    name: 'the state service refuses the leader alone, then is out for longer than cancel_s',
    faults: ({ world, leader }) => {
      world.state.refused.add(leader);
      world.at(1000, () => cancelElsewhere(world, 1));
      world.at(2000, () => (world.state.down = true));
      world.at(14_000, () => world.state.refused.clear());
      world.at(world.terms.cancelWithin + 12_000, () => world.state.restore());
    },
  },
  {
    name: 'the state service refuses each leader in turn',
    faults: ({ world }) => {
      for (let i = 0; i < 5; i++) {
        world.at(i * 7000, () => {
          world.state.refused.clear();
          const leader = world.leader();
          if (leader) world.state.refused.add(leader);
          cancelElsewhere(world, i + 1);
        });
      }
      world.at(35_000, () => world.state.refused.clear());
    },
  },
  {
    name: 'transactions without an answer are carried out late',
    faults: ({ world }) => {
      world.stateFault = (_node, call) =>
        call.path === '/commit' && world.random() < 0.4
          ? 2000 + world.random() * 10_000
          : undefined;
      world.at(9000, () => cancelElsewhere(world, 1));
      world.at(35_000, () => (world.stateFault = null));
    },
  },
  {
    name: 'transactions are carried out at once and only their answers are lost',
    faults: ({ world }) => {
      world.stateFault = (_node, call) =>
        call.path === '/commit' && world.random() < 0.4 ? 'lost_after' : undefined;
      world.at(9000, () => cancelElsewhere(world, 1));
      world.at(35_000, () => (world.stateFault = null));
    },
  },
  {
    name: 'the limits are lowered in the moment in which a process comes back',
    faults: ({ world }) => world.at(AWAY, () => world.lowerLimits()),
  },
  {
    name: 'the leader is replaced last',
    order: (leader, others) => [...others, leader],
    faults: ({ world }) => world.at(3 * BETWEEN, () => world.lowerLimits()),
  },
  {
    name: 'the leader is replaced first',
    order: (leader, others) => [leader, ...others],
    faults: ({ world }) => world.at(AWAY + 400, () => cancelElsewhere(world, 1)),
  },
  {
    name: 'a leader that was replaced is replaced once more',
    order: (leader, others) => [leader, ...others, leader],
    faults: ({ world }) => world.at(AWAY + 400, () => world.lowerLimits()),
  },
  {
    name: 'a process dies before its turn and is back as the older version within a second',
    order: (leader, others) => [...others, leader],
    faults: ({ world, leader }) => {
      for (const [i, pause] of [300, 900, 6000].entries()) {
        world.at(2000 + i * 7500, () => {
          world.crash(leader);
          world.at(pause, () => world.alive.has(leader) || world.bootOlder(leader));
        });
      }
    },
  },
  {
    name: 'processes are back within a fraction of a second',
    away: 300,
    faults: ({ world }) => world.at(400, () => cancelElsewhere(world, 1)),
  },
  {
    name: 'one process goes back to the older version at each moment of the roll',
    faults: ({ world, order }) => {
      for (let i = 0; i < 3; i++) {
        const name = order[i]!;
        world.at(i * BETWEEN + AWAY + 1500, () => {
          world.crash(name);
          world.at(400, () => world.bootOlder(name));
        });
        // It gets the current version for good later.
        world.at(3 * BETWEEN + i * 2000, () => {
          world.crash(name);
          world.at(400, () => world.boot(name));
        });
      }
    },
  },
];

for (const { name, faults, order = usualOrder, away } of MEETINGS) {
  onEachDeployment(`rolling upgrade: ${name}`, (terms) => {
    for (const seed of SEEDS) {
      const world = olderCluster(terms, seed);
      const leader = world.leader()!;
      const others = world.nodes.filter((n) => n !== leader);
      const roll = { world, leader, order: order(leader, others) };
      replaceAll(roll, away);
      faults(roll);
      world.run(4 * BETWEEN + AWAY);
      world.lowerLimits();
      submitChains(world);
      world.at(4000, () => cancelElsewhere(world, FIRST_CHAIN + 4));
      world.run(20_000);
      endsWell(world);
      assert.equal(world.tooLarge, 0, 'transactions larger than the limits to come');
    }
  });
}

import assert from 'node:assert/strict';
import { packBody } from '@tealdock/wire';
import type { Call, Reply } from '@tealdock/controller';
import { job, type FakeWorker, type Terms, type World, type WorldOptions } from './index.js';
import { onEachDeployment } from './deployments.js';
import { A, ask, idOf, keepsRules, others, running, settled, status } from './story.js';

// Dependent jobs that meet other faults.

const LIMIT = 400_000;
const after = (...numbers: number[]) => ({ waits_on: numbers.map(idOf) });

function start(terms: Terms, options: WorldOptions = {}, machines = 4): World {
  return settled({ terms, capacity: machines, ...options }, machines);
}

function submitted(world: World, n: number, over: Record<string, unknown> = {}): void {
  const node = [...world.alive.keys()][n % world.alive.size]!;
  world.submit(job(n, over), node);
  assert.ok(
    world.runUntil(() => world.checker.accepted(idOf(n)), 8000),
    idOf(n),
  );
}

/** Repeats a submission until some node has taken it. */
function insist(world: World, n: number, over: Record<string, unknown>): void {
  if (world.checker.accepted(idOf(n))) return;
  const nodes = [...world.alive.keys()];
  if (nodes.length > 0) world.submit(job(n, over), nodes[n % nodes.length]!);
  world.at(3000, () => insist(world, n, over));
}

/** All faults are over: each of these jobs ends, and every node says the same of it. */
function endsWell(world: World, jobs: number[]): void {
  world.calm();
  const open = () => jobs.filter((n) => world.checker.final(idOf(n)) === null);
  const ended = () => {
    if (world.now() % 1000 === 0) {
      for (const n of open()) world.poll(idOf(n), world.nodes[n % 3]!);
    }
    return open().length === 0;
  };
  assert.ok(world.runUntil(ended, LIMIT), `jobs without an end: ${open().join(', ')}`);
  for (const node of world.nodes) {
    for (const n of jobs) world.poll(idOf(n), node);
    world.run(2000);
  }
  world.run(world.terms.cancelWithin);
  assert.equal(running(world), 0);
  assert.deepEqual(world.checker.unserved(), []);
  keepsRules(world);
}

const workersOf = (world: World, n: number): FakeWorker[] =>
  [...world.workers.values()].filter((w) => w.tasks.some((t) => t.piece.startsWith(idOf(n))));

const begun = (world: World, n: number): boolean =>
  workersOf(world, n).length > 0 || world.checker.doneTasks(idOf(n)).size > 0;

function crashLeader(world: World, away = 6000): void {
  const leader = world.leader();
  if (leader === null) return;
  world.crash(leader);
  world.at(away, () => world.alive.has(leader) || world.boot(leader));
}

onEachDeployment(
  'a predecessor is cancelled by two nodes as its last task ends, and a third takes dependents',
  (terms) => {
    for (const crashes of [false, true]) {
      for (let moment = 0; moment <= 2000; moment += 200) {
        const world = start(terms, { runTime: 3000 }, 2);
        submitted(world, 1, { batch: 1 });
        submitted(world, 2, { batch: 1, ...after(1) });
        assert.ok(world.runUntil(() => world.checker.doneTasks(A).size === 1, 20_000));
        world.run(moment);
        const [b, c] = others(world);
        const leader = world.leader()!;
        if (crashes) crashLeader(world);
        world.cancel(A, b!);
        world.cancel(A, c!);
        world.submit(job(3, { batch: 1, ...after(1) }), crashes ? b! : leader);
        world.submit(job(4, { batch: 1, ...after(2) }), c!);
        for (const n of [1, 2]) for (const node of [b!, c!]) world.poll(idOf(n), node);
        world.run(100);
        for (const n of [3, 4]) insist(world, n, { batch: 1, ...after(n - 2) });
        world.run(12_000);
        endsWell(world, [1, 2, 3, 4]);
        const ends = new Set([1, 2, 3, 4].map((n) => world.checker.final(idOf(n))));
        assert.equal(ends.size, 1, `${[...ends].join(' and ')} after ${moment} ms`);
      }
    }
  },
);

interface MachineFault {
  name: string;
  begin: (world: World, workers: FakeWorker[]) => void;
  end: (world: World, workers: FakeWorker[]) => void;
}

const MACHINE_FAULTS: MachineFault[] = [
  {
    name: 'are deaf',
    begin: (world, workers) => workers.forEach((w) => world.deafen(w.machine.id)),
    end: (world, workers) => workers.forEach((w) => world.undeafen(w.machine.id)),
  },
  {
    name: 'are mute',
    begin: (world, workers) => workers.forEach((w) => world.mute(w.machine.id)),
    end: (world, workers) => workers.forEach((w) => world.unmute(w.machine.id)),
  },
  {
    name: 'hang',
    begin: (_world, workers) => workers.forEach((w) => (w.hanging = true)),
    end: (_world, workers) => workers.forEach((w) => (w.hanging = false)),
  },
  {
    name: 'have copies of their reports come late',
    begin: (world) => (world.copyDelay = () => 2000 + world.random() * 40_000),
    end: (world) => (world.copyDelay = null),
  },
];

for (const { name, begin, end } of MACHINE_FAULTS) {
  onEachDeployment(
    `machines that run a predecessor ${name}: its dependents wait for its end`,
    (terms) => {
      for (const length of [6000, terms.lease + 8000, 2 * terms.lease + 20_000]) {
        for (const crashes of [false, true]) {
          const world = start(terms, { runTimeOf: (p) => (p.startsWith(A) ? 9000 : 3000) }, 6);
          submitted(world, 1, { batch: 4, expected_s: 9 });
          submitted(world, 2, { batch: 2, ...after(1) });
          submitted(world, 3, { batch: 2, ...after(2, 1) });
          assert.ok(world.runUntil(() => running(world) === 4, 20_000));
          const affected = workersOf(world, 1);
          begin(world, affected);
          if (crashes) world.at(5000, () => crashLeader(world));
          world.run(length);
          end(world, affected);
          endsWell(world, [1, 2, 3]);
          for (const n of [1, 2, 3]) assert.equal(world.checker.final(idOf(n)), 'done', idOf(n));
        }
      }
    },
  );
}

for (const leads of [true, false]) {
  const name = leads ? 'an outage' : 'an outage, with no leader to end the rest';
  onEachDeployment(
    `the head of a chain of hundreds is cancelled under low limits and ${name}`,
    (terms) => {
      const limits = { sockets: 1500, rps: 100, writeRps: 15 };
      const next = { valueBytes: 2048, txnOps: 4 };
      const world = start(terms, { capacity: 8, runTime: LIMIT, limits, next }, 8);
      const [wide, deep] = [110, 90];
      submitted(world, 1, { batch: 1, expected_s: 400 });
      for (let i = 0; i < wide; i++) submitted(world, 2 + i, { batch: 1, ...after(1) });
      for (let i = 0; i < deep; i++) {
        submitted(world, 500 + i, { batch: 1, ...after(i === 0 ? 2 : 499 + i, 3 + i) });
      }
      world.lowerLimits();
      const all = [...Array(wide).keys()].map((i) => 2 + i);
      all.push(...[...Array(deep).keys()].map((i) => 500 + i));
      const [b, c] = others(world);
      if (!leads) {
        // Whoever led goes, and the others can't write the leader's key.
        const election = (call: Call) =>
          JSON.stringify(call.body ?? '').includes('tealdock/leader');
        world.stateFault = (_node, call) => (election(call) ? 'lost_before' : undefined);
        world.crash(world.leader()!);
      }
      assert.equal(status(ask(world, (d) => world.cancel(A, b!, d))), 'aborted');
      world.state.down = true;
      world.run(10_000);
      world.state.restore();
      // Users ask about every five seconds, each of them some node.
      for (let round = 0; round * 5000 < terms.cancelWithin; round++) {
        for (const [i, n] of all.entries()) {
          if (world.checker.final(idOf(n)) !== null) continue;
          const nodes = [...world.alive.keys()];
          world.at((i * 5000) / all.length, () =>
            world.poll(idOf(n), nodes[(n + round) % nodes.length]!),
          );
        }
        world.run(5000);
      }
      for (const n of all) assert.equal(world.checker.final(idOf(n)), 'aborted', idOf(n));
      for (const [i, n] of all.entries()) {
        const again = job(n, { batch: 1 });
        world.at(i * 40, () => world.submit(again, i % 2 ? b! : c!));
      }
      world.run(all.length * 40 + 3000);
      assert.ok(!all.some((n) => begun(world, n)));
      endsWell(world, [1, ...all]);
    },
  );
}

onEachDeployment(
  'a chain is submitted over minutes, its last job when terms and their jobs are long over',
  (terms) => {
    const world = start(terms, { runTime: 2000 }, 3);
    const last = 9;
    for (let n = 1; n < last; n++) {
      submitted(world, n, { batch: 1, ...(n > 1 ? after(n - 1) : {}) });
      world.run(9000);
      crashLeader(world, 400);
      world.run(11_000);
    }
    for (const node of world.nodes) world.crash(node);
    world.run(terms.lease + 5000);
    for (const node of world.nodes) world.boot(node);
    world.run(9000);
    const everyone = Array.from({ length: last - 1 }, (_, i) => i + 1);
    submitted(world, last, { batch: 2, urgency: 'urgent', ...after(...everyone) });
    const from = world.now();
    assert.ok(
      world.runUntil(() => begun(world, last), 15_000),
      'its predecessors are over',
    );
    assert.ok(world.now() - from < 15_000);
    endsWell(world, [...everyone, last]);
  },
);

/** The answer to a body sent as it is, and how long it took. */
function post(world: World, node: string, body: unknown): { reply: Reply | null; took: number } {
  const from = world.now();
  let took = Infinity;
  let reply: Reply | null = null;
  world.request(node, 'POST', '/api/jobs', packBody(body), (r) => {
    reply = r;
    took = world.now() - from;
  });
  world.run(6000);
  return { reply, took };
}

onEachDeployment('odd lists of predecessors are answered at once and as documented', (terms) => {
  const world = start(terms, { runTime: LIMIT });
  submitted(world, 1, { expected_s: 400 });
  const many = (count: number, from: number) =>
    Array.from({ length: count }, (_, i) => idOf(from + i));
  const cases: [waits: unknown, status: number][] = [
    ['run-000001', 400],
    [{ 0: A }, 400],
    [7, 400],
    [true, 400],
    [[null], 400],
    [[A, 3], 400],
    [[[A]], 400],
    [[''], 422],
    [['run-1'], 422],
    [[`${A}/0`], 422],
    [[idOf(2)], 422],
    [[A, idOf(2)], 422],
    [[idOf(77)], 422],
    [[A, idOf(77), A], 422],
    [many(40, 1000), 422],
    [many(3000, 1000), 400],
    [Array(3000).fill(A), 201],
    [[A, A, A], 200],
  ];
  for (const [waits, expected] of cases) {
    const shown = JSON.stringify(waits).slice(0, 60);
    const { reply, took } = post(world, 'n-0', job(2, { waits_on: waits }));
    assert.equal(reply?.status, expected, shown);
    assert.ok(took < 1500, `${shown}: ${took} ms`);
  }
  for (const [waits] of cases) {
    const { reply } = post(world, 'n-1', job(2, { waits_on: waits }));
    assert.equal(reply?.status, 200, 'a known job is known whatever the body says now');
  }
  keepsRules(world);
});

onEachDeployment(
  'a name that another node is just accepting is known or not, never lost',
  (terms) => {
    for (let moment = 0; moment <= 60; moment += 5) {
      const world = start(terms, { runTime: 2000 });
      world.stateDelay = () => 20;
      world.submit(job(1, { batch: 1 }), 'n-0');
      world.run(moment);
      const { reply } = post(world, 'n-1', job(2, { batch: 1, ...after(1) }));
      assert.ok([201, 422].includes(reply!.status), `${reply!.status} after ${moment} ms`);
      submitted(world, 2, { batch: 1, ...after(1) });
      endsWell(world, [1, 2]);
      assert.equal(world.checker.final(idOf(2)), 'done');
    }
  },
);

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { dependentDemands, type GraphJob } from '@tealdock/scheduler';
import { packBody, parseSettings } from '@tealdock/wire';
import { SimulatedCluster, job } from './index.js';
import {
  A,
  after,
  ask,
  begun,
  crashLeader,
  finished,
  idOf,
  keepsRules,
  others,
  running,
  settled,
  status,
  submitted,
} from './scenario.js';

const B = idOf(2);
const CANCEL_WITHIN = 45_000;

/** As users do: each as soon as those that it needs are accepted. */
function chained(cluster: SimulatedCluster, n: number, waits: number[], node: string): void {
  const over = { batch: 1, expected_s: 1, ...after(...waits) };
  cluster.submit(job(n, over), node);
  assert.ok(
    cluster.runUntil(() => cluster.checker.accepted(idOf(n)), 4000),
    idOf(n),
  );
}

const told = (cluster: SimulatedCluster, n: number, node: string): unknown =>
  status(ask(cluster, (d) => cluster.poll(idOf(n), node, d)));

test('a job starts once the last of its predecessors is done, across a change of leader', () => {
  for (const moment of [2000, 6000, 10_000, 14_000]) {
    const cluster = settled({ runTimeOf: (p) => (p.startsWith(A) ? 4000 : 12_000) });
    submitted(cluster, 1);
    submitted(cluster, 2);
    submitted(cluster, 3, after(1, 2, 1));
    assert.equal(told(cluster, 3, 'n-1'), 'queued');
    cluster.at(moment, () => crashLeader(cluster));
    assert.ok(finished(cluster, idOf(3)));
    keepsRules(cluster);
  }
});

test('a predecessor that ends as the job is accepted neither releases early nor keeps it waiting', () => {
  for (let moment = 0; moment <= 1500; moment += 100) {
    const cluster = settled({ runTime: 2000 });
    cluster.submit(job(1), 'n-0');
    assert.ok(cluster.runUntil(() => cluster.checker.doneTasks(A).size === 2, 20_000));
    cluster.run(moment);
    submitted(cluster, 2, after(1));
    assert.ok(finished(cluster, B, 20_000), `submitted ${moment} ms after the last task`);
    keepsRules(cluster);
  }
});

// Nothing but a key releases: what runs at the predecessor's machines may run again.
test('a predecessor whose last task is done, but not its key, does not release', () => {
  const cluster = settled({ runTime: 3000 });
  cluster.stateFault = (_node, call) =>
    call.writes >= 2 && JSON.stringify(call.body).includes('ended/') ? 'lost_before' : undefined;
  submitted(cluster, 1);
  submitted(cluster, 2, after(1));
  assert.ok(cluster.runUntil(() => cluster.checker.doneTasks(A).size === 2, 30_000));
  cluster.run(10_000);
  assert.ok(!begun(cluster, 2));
  cluster.stateFault = null;
  assert.ok(finished(cluster, B));
  keepsRules(cluster);
});

// Few changes a second: ends queue up after a change of leader, and dependents wait for theirs.
test('ends that other jobs wait for are committed first, those of cancelled dependents last', () => {
  const [plain, awaited, urgent, cancelled, behind] = [1, 6, 7, 8, 9];
  const cluster = settled({ capacity: 4, runTime: 3000, next: { txnOps: 2, valueBytes: 4096 } }, 4);
  cluster.stateFault = (_node, call) =>
    call.writes >= 2 && JSON.stringify(call.body).includes('"done"') ? 'lost_before' : undefined;
  // One after the other, so that they are completed in that order.
  const submit = (n: number, over: Record<string, unknown>) => {
    submitted(cluster, n, over);
    cluster.run(4500);
  };
  submit(cancelled, { expected_s: 500 });
  for (let n = plain; n < awaited; n++) submit(n, { batch: 1 });
  submit(awaited, { batch: 1 });
  submit(urgent, { batch: 1 });
  submit(20, { batch: 1, ...after(awaited) });
  submit(21, { batch: 1, urgency: 'urgent', ...after(urgent) });
  submit(behind, { batch: 1, ...after(cancelled) });
  const ran = (n: number) => cluster.checker.doneTasks(idOf(n)).size === 1;
  assert.ok(cluster.runUntil(() => [1, 2, 3, 4, 5, awaited, urgent].every(ran), 60_000));
  cluster.cancel(idOf(cancelled), others(cluster)[0]!);
  cluster.run(150);
  cluster.stateFault = null;
  cluster.run(8000);
  const endedAt = (n: number) => cluster.state.keys.get(`tealdock/ended/${idOf(n)}`)?.stamp ?? NaN;
  const order = [urgent, awaited, 1, 2, 3, 4, 5, behind].map(endedAt);
  assert.ok(order.every(Number.isFinite), 'all have ended');
  assert.deepEqual(
    order,
    [...order].sort((a, b) => a - b),
  );
  assert.ok(finished(cluster, idOf(20)) && finished(cluster, idOf(21)));
  keepsRules(cluster);
});

test('cancel against done of a predecessor on two nodes: what follows it agrees', () => {
  for (let moment = 0; moment <= 800; moment += 100) {
    const cluster = settled({ runTime: 3000 }, 1);
    submitted(cluster, 1, { batch: 1 });
    submitted(cluster, 2, { batch: 1, ...after(1) });
    const exited = () => cluster.checker.doneTasks(A).size === 1;
    assert.ok(cluster.runUntil(exited, 20_000));
    cluster.run(moment);
    cluster.cancel(A, others(cluster)[0]!);
    cluster.poll(A, others(cluster)[1]!);
    cluster.run(15_000);
    const end = told(cluster, 1, 'n-0');
    assert.ok(end === 'done' || end === 'aborted');
    assert.equal(told(cluster, 2, 'n-1'), end);
    keepsRules(cluster);
  }
});

test('a cancelled chain ends, without a task, through an outage and with the first question elsewhere', () => {
  const cluster = settled();
  submitted(cluster, 1, { expected_s: 500 });
  submitted(cluster, 2, after(1));
  submitted(cluster, 3, after(2));
  submitted(cluster, 4, after(2, 3));
  const [b, c] = others(cluster);
  const leader = cluster.leader()!;
  // The leader ends right after the cancellation, and nobody leads until the questions come.
  for (const n of ['state', ...cluster.nodes]) cluster.cuts.add(`${n}>${leader}`);
  cluster.cuts.add(`${leader}>state`);
  cluster.run(1500);
  cluster.cancel(A, b!);
  cluster.run(500);
  cluster.crash(leader);
  cluster.state.down = true;
  cluster.run(CANCEL_WITHIN + 10_000);
  cluster.state.restore();
  assert.equal(cluster.checker.final(A), 'aborted');
  for (const n of [4, 3, 2]) cluster.poll(idOf(n), c!);
  cluster.run(1500);
  for (const n of [2, 3, 4]) assert.equal(cluster.checker.final(idOf(n)), 'aborted', idOf(n));
  for (const n of [2, 3, 4]) assert.equal(told(cluster, n, b!), 'aborted');
  cluster.boot(leader);
  cluster.run(20_000);
  for (const n of [2, 3, 4]) assert.ok(!begun(cluster, n));
  keepsRules(cluster);
});

test('the leader ends what needs a cancelled job, without being asked, and starts none of it', () => {
  for (const away of [false, true]) {
    const cluster = settled({ capacity: 4 }, 4);
    submitted(cluster, 1, { expected_s: 500 });
    for (let n = 2; n <= 12; n++) chained(cluster, n, n % 3 === 0 ? [1] : [n - 1], 'n-0');
    if (away) crashLeader(cluster);
    cluster.cancel(
      A,
      others(cluster).find((n) => cluster.alive.has(n))!,
    );
    cluster.run(25_000);
    const live = [...cluster.state.keys.keys()].filter((k) => k.includes('/live/'));
    assert.deepEqual(live, []);
    for (let n = 2; n <= 12; n++) assert.ok(!begun(cluster, n), idOf(n));
    for (let n = 2; n <= 12; n++) assert.equal(told(cluster, n, 'n-2'), 'aborted');
    keepsRules(cluster);
  }
});

test('a job submitted behind a cancelled one is accepted and is over', () => {
  const cluster = settled();
  submitted(cluster, 1, { expected_s: 500 });
  assert.equal(status(ask(cluster, (d) => cluster.cancel(A, 'n-1', d))), 'aborted');
  const reply = ask(cluster, (d) => cluster.submit(job(2, after(1)), 'n-2', d));
  assert.deepEqual([reply?.status, status(reply)], [201, 'aborted']);
  assert.equal(told(cluster, 2, 'n-0'), 'aborted');
  assert.equal(ask(cluster, (d) => cluster.submit(job(2, after(1)), 'n-0', d))?.status, 200);
  assert.equal(ask(cluster, (d) => cluster.submit(job(3, after(2)), 'n-0', d))?.status, 201);
  assert.equal(told(cluster, 3, 'n-1'), 'aborted');
  keepsRules(cluster);
});

test('a cancellation that is answered with done lets what follows go on', () => {
  const cluster = settled({ runTime: 2000 });
  submitted(cluster, 1);
  assert.ok(finished(cluster, A));
  submitted(cluster, 2, { expected_s: 10, ...after(1) });
  assert.equal(status(ask(cluster, (d) => cluster.cancel(A, 'n-2', d))), 'done');
  assert.ok(finished(cluster, B));
  keepsRules(cluster);
});

test('hundreds of jobs, wide and deep: all run in order, or end with the first', () => {
  for (const cancels of [false, true]) {
    const cluster = settled({ capacity: 8, runTime: 400 }, 8);
    const [first, wide, deep] = [1, 120, 60];
    if (cancels) cluster.options.runTime = 300_000;
    submitted(cluster, first, { batch: 1, expected_s: 1 });
    for (let i = 0; i < wide; i++) chained(cluster, 2 + i, [first], cluster.nodes[i % 3]!);
    for (let i = 0; i < deep; i++) {
      chained(cluster, 500 + i, i === 0 ? [2, 3, 4] : [500 + i - 1, 2 + i], cluster.nodes[i % 3]!);
    }
    const all = [...Array(wide).keys()].map((i) => 2 + i);
    all.push(...[...Array(deep).keys()].map((i) => 500 + i));
    if (cancels) {
      crashLeader(cluster, 20_000);
      assert.equal(
        status(ask(cluster, (d) => cluster.cancel(A, [...cluster.alive.keys()][0]!, d))),
        'aborted',
      );
      cluster.run(CANCEL_WITHIN);
      for (const n of all) cluster.poll(idOf(n), cluster.nodes[n % 3]!);
      cluster.run(3000);
      for (const n of all) assert.equal(cluster.checker.final(idOf(n)), 'aborted', idOf(n));
    } else {
      const done = () => all.every((n) => cluster.checker.doneTasks(idOf(n)).size === 1);
      assert.ok(cluster.runUntil(done, 400_000));
    }
    keepsRules(cluster);
  }
});

test('one question about a deep chain costs few requests', () => {
  const cluster = settled({}, 1);
  submitted(cluster, 1, { expected_s: 500 });
  for (let n = 2; n <= 60; n++) chained(cluster, n, [n - 1], 'n-0');
  for (const cold of ['n-1', 'n-2']) {
    let calls = 0;
    cluster.stateFault = (node, call) => {
      if (node === cold && call.priority === 1) calls++;
      return undefined;
    };
    let answered = false;
    const isAnswered = () => answered;
    for (let turn = 0; turn < 8 && !isAnswered(); turn++) {
      const before = calls;
      cluster.poll(idOf(60), cold, (r) => (answered = r?.status === 200));
      cluster.run(2000);
      assert.ok(calls - before <= 50, `${calls - before} requests`);
    }
    assert.ok(answered);
    const before = calls;
    cluster.poll(idOf(60), cold);
    cluster.run(1000);
    assert.ok(calls - before <= 4, 'what was learnt is kept');
  }
  keepsRules(cluster);
});

test('bad requests about predecessors', () => {
  const cluster = settled();
  const post = (n: number, waits: unknown, node = 'n-0') =>
    cluster.raw(node, 'POST', '/api/jobs', packBody(job(n, { waits_on: waits })))?.status;
  assert.equal(post(2, 'run-000001'), 400);
  assert.equal(post(2, [1]), 400);
  assert.equal(post(2, [A]), 422, 'never accepted');
  assert.equal(post(2, ['job one']), 422);
  submitted(cluster, 1, { expected_s: 500 });
  assert.equal(post(2, [B, A]), 422, 'itself');
  const many = Array.from({ length: 500 }, (_, i) => idOf(1000 + i));
  const tooMany = cluster.raw('n-0', 'POST', '/api/jobs', packBody(job(2, { waits_on: many })));
  assert.equal(tooMany?.status, 400);
  assert.match((tooMany.body as { error: string }).error, /^waits_on/);
  cluster.stateFault = (node) => (node === 'n-2' ? 'lost_before' : undefined);
  for (const n of ['n-0', 'n-1']) cluster.cuts.add(`n-2>${n}`);
  let unsure: number | undefined;
  cluster.submit(job(2, after(1)), 'n-2', (r) => (unsure = r?.status));
  cluster.run(5000);
  assert.equal(unsure, 503);
  cluster.stateFault = null;
  cluster.cuts.clear();
  for (const [n, none] of [null, [], undefined].entries()) {
    submitted(cluster, 10 + n, { waits_on: none });
  }
  submitted(cluster, 2, after(1, 1));
  assert.equal(post(2, 'anything'), 200, 'a known job is known whatever the body says now');
  assert.equal(post(2, [idOf(99)]), 200);
  keepsRules(cluster);
});

test('a waiting job rents nothing, counts for no guarantee, and its aims start at its release', () => {
  const cluster = new SimulatedCluster({
    capacity: 6,
    guarantee: 4,
    runTimeOf: (p) => (p.startsWith(A) ? 150_000 : 4000),
  });
  cluster.run(5000);
  submitted(cluster, 1, { batch: 1 });
  submitted(cluster, 2, { batch: 16, ...after(1) });
  cluster.run(140_000);
  assert.ok(cluster.cloud.rented.length <= 2, `${cluster.cloud.rented.length} machines`);
  assert.ok(!begun(cluster, 2));
  crashLeader(cluster);
  // It waited for more than two minutes, but is no older than its release.
  assert.ok(finished(cluster, B, 200_000));
  keepsRules(cluster);
});

// Its predecessor's end is newer than the term, so no older leader can have started it.
test('a job released within a term is placed before the whole registry is known, others are not', () => {
  const cluster = settled({
    capacity: 4,
    runTimeOf: (p) => (p.startsWith(A) ? 20_000 : p.startsWith(idOf(3)) ? 1000 : 40_000),
  });
  submitted(cluster, 1, { batch: 1 });
  submitted(cluster, 2, { batch: 1, urgency: 'urgent', ...after(1) });
  submitted(cluster, 3, { batch: 1 });
  submitted(cluster, 4, { batch: 30, ...after(3) });
  assert.ok(cluster.runUntil(() => begun(cluster, 4), 20_000));
  const lost = [...cluster.workers.values()].find(
    (w) => !w.tasks.some((t) => t.piece.startsWith(A)),
  );
  cluster.cuts.add(lost!.machine.id);
  const from = cluster.log.length;
  crashLeader(cluster);
  assert.ok(cluster.runUntil(() => begun(cluster, 2), 40_000));
  const term = cluster.log.slice(from);
  assert.ok(!term.some((l) => l.message === 'roster accounted for'), 'one machine is still open');
  const earlier = term.filter(
    (l) => l.message === 'start sent' && String(l.fields['task']).startsWith(idOf(4)),
  );
  const since = term.findIndex((l) => l.message === 'leading');
  assert.deepEqual(
    earlier.filter((l) => term.indexOf(l) > since),
    [],
    'a job released before the term waits for the registry',
  );
  cluster.endFaults();
  assert.ok(finished(cluster, idOf(4), 300_000));
  keepsRules(cluster);
});

test('the moment of release is the same for a later leader', () => {
  const cluster = settled({ capacity: 1, runTimeOf: (p) => (p.startsWith(A) ? 3000 : 60_000) }, 1);
  submitted(cluster, 1, { batch: 1 });
  submitted(cluster, 2, { batch: 8, ...after(1) });
  assert.ok(cluster.runUntil(() => begun(cluster, 2), 20_000));
  cluster.run(20_000);
  const from = cluster.log.length;
  crashLeader(cluster);
  cluster.run(20_000);
  const released = cluster.log.slice(from).find((l) => l.message === 'job released');
  const ago = Number(released?.fields['ago']);
  assert.ok(ago > 20_000 && ago < 40_000, `${ago} ms ago`);
  keepsRules(cluster);
});

const chainJob = (id: string, predecessors: string[], over: Partial<GraphJob> = {}): GraphJob => ({
  id,
  predecessors,
  priority: 'low',
  finishBy: Infinity,
  run: 10,
  ...over,
});

test('priority and deadline go back along the longest path, and drop with what needed them', () => {
  const last = chainJob('d', ['b', 'c'], { priority: 'high', finishBy: 1000, run: 5 });
  const jobs = [
    chainJob('a', []),
    chainJob('b', ['a'], { run: 100 }),
    chainJob('c', ['a'], { run: 20, priority: 'normal', finishBy: 500 }),
    last,
    chainJob('x', ['gone'], { finishBy: 7 }),
  ];
  const all = dependentDemands(jobs);
  assert.deepEqual(all.get('a'), { priority: 'high', finishBy: 480 });
  assert.deepEqual(all.get('b'), { priority: 'high', finishBy: 995 });
  assert.deepEqual(all.get('c'), { priority: 'high', finishBy: 500 });
  assert.deepEqual(all.get('x'), { priority: 'low', finishBy: 7 });
  const without = dependentDemands(jobs.filter((j) => j !== last));
  assert.deepEqual(without.get('a'), { priority: 'normal', finishBy: 480 });
  assert.deepEqual(without.get('b'), { priority: 'low', finishBy: Infinity });
});

test('work that an urgent job needs goes before other work, until that job is cancelled', () => {
  for (const cancels of [false, true]) {
    const cluster = settled({ capacity: 1, runTime: 4000 }, 1);
    const low = { urgency: 'idle', batch: 8 };
    submitted(cluster, 1, { ...low, batch: 20 });
    submitted(cluster, 2, { ...low });
    submitted(cluster, 3, { urgency: 'urgent', batch: 1, ...after(2) });
    if (cancels)
      assert.equal(status(ask(cluster, (d) => cluster.cancel(idOf(3), 'n-1', d))), 'aborted');
    const tasks = (id: string) => cluster.checker.doneTasks(id).size;
    cluster.runUntil(() => tasks(B) === 8, 60_000);
    if (cancels) assert.ok(tasks(A) >= 16, `${tasks(A)} tasks of older work were done first`);
    else assert.ok(tasks(A) < 16, `${tasks(A)} tasks of older work were done before`);
    if (!cancels) assert.ok(finished(cluster, idOf(3), 20_000));
    keepsRules(cluster);
  }
});

test('the lower of both limits holds from the first start', () => {
  const text = (next: string) =>
    [
      'member = "n-0"\nzone = "a"\npublic_addr = "10.0.0.1:1"\ncluster_listen = "10.0.0.1:2"',
      '[external]\ncloud = "10.0.0.2:1"\nstate = "10.0.0.3:1"',
      '[settings.workers]\nreport_s = 3.0\nlease_s = 20.0\ncancel_s = 45.0',
      '[settings.cloud]\nrps = 6.0\nlist_lag_s = 1.0',
      '[settings.state]\nrps = 100.0\nwrite_rps = 40.0\nvalue_kb = 16.0\ntxn_ops = 12',
      next,
    ].join('\n');
  const limits = (next: string) => parseSettings(text(next)).state;
  assert.deepEqual(limits(''), { rps: 100, writeRps: 40, valueBytes: 16384, txnOps: 12 });
  assert.deepEqual(limits('[settings.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 4'), {
    rps: 100,
    writeRps: 28,
    valueBytes: 2048,
    txnOps: 4,
  });
  assert.throws(() => limits('[settings.state.next]\ntxn_ops = 0'), /txn_ops/);
  assert.throws(() => limits('[settings.state.next]\nvalue_kb = -1'), /value_kb/);
});

/** Entries of all shards below a prefix, and whether any shard is too large. */
function entriesOf(cluster: SimulatedCluster, prefix: string): Set<string> {
  const shards = [...cluster.state.keys].filter(([key]) => key.includes(prefix));
  return new Set(shards.flatMap(([, e]) => Object.keys((e.v as { entries: object }).entries)));
}

function largestShard(cluster: SimulatedCluster): number {
  const shards = [...cluster.state.keys].filter(([k]) => /roster|progress/.test(k));
  return Math.max(...shards.map(([, e]) => JSON.stringify(e.v).length));
}

test('limits are lowered with large shards stored: no entry is missing at any moment', () => {
  for (const crashes of [false, true]) {
    const options = { cpuLimit: 10_000, valueBytes: 16_384, txnOps: 12, runTime: 40_000 };
    const cluster = settled(options, 300);
    submitted(cluster, 1, { batch: 1000, expected_s: 40 });
    cluster.run(8000);
    const machines = entriesOf(cluster, '/roster/');
    assert.equal(machines.size, 300);
    assert.ok(largestShard(cluster) > 8000);
    cluster.options.next = { valueBytes: 2048, txnOps: 4 };
    for (const n of cluster.nodes) {
      cluster.crash(n);
      cluster.boot(n);
    }
    const whole = () => [...machines].every((m) => entriesOf(cluster, '/roster/').has(m));
    for (let i = 0; i < 200; i++) {
      if (i === 3) cluster.lowerLimits();
      if (crashes && i % 8 === 7 && i < 60) crashLeader(cluster, 400);
      cluster.run(100);
      assert.ok(whole(), `after ${i * 100} ms`);
    }
    assert.ok(largestShard(cluster) <= 2048);
    assert.equal(cluster.state.refusals, 0, 'nothing was written that is too large');
    assert.ok(finished(cluster, A, 300_000));
    keepsRules(cluster);
  }
});

test('many jobs under low limits: nothing is too large, all run', () => {
  const next = { valueBytes: 2048, txnOps: 2 };
  const cluster = settled({ capacity: 6, runTime: 3000, next }, 6);
  cluster.lowerLimits();
  for (let n = 1; n <= 30; n++) {
    const over = n > 3 ? after(n - 1, n - 3) : {};
    cluster.submit(job(n, { ...over, batch: 4 }), cluster.nodes[n % 3]!);
    cluster.run(200);
  }
  assert.ok(finished(cluster, idOf(30), 300_000));
  assert.equal(cluster.state.refusals, 0);
  assert.equal(running(cluster), 0);
  keepsRules(cluster);
});

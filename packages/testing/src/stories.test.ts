import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StatsView } from '@tealdock/controller';
import { packBody } from '@tealdock/wire';
import { job, World } from './index.js';
import { A, ask, finished, keepsRules, others, running, settled, status } from './story.js';

test('a job is accepted, runs, is done and stays known', () => {
  const world = settled();
  assert.equal(ask(world, (d) => world.submit(job(1), 'n-0', d))?.status, 201);
  assert.ok(finished(world, A));
  const again = ask(world, (d) => world.submit(job(1), 'n-1', d));
  assert.equal(again?.status, 200);
  assert.equal(status(again), 'done');
  keepsRules(world);
});

test('a retried submission after the end is answered even when it is malformed by now', () => {
  const world = settled();
  world.submit(job(1), 'n-0');
  assert.ok(finished(world, A));
  const unknownTeam = ask(world, (d) => world.submit(job(1, { owner: 'gone' }), 'n-1', d));
  assert.equal(unknownTeam?.status, 200);
  keepsRules(world);
});

test('bad requests get what the protocol says and change nothing', () => {
  const world = settled();
  const post = (body: unknown) => world.raw('n-0', 'POST', '/api/jobs', packBody(body));
  assert.equal(post('text')?.status, 400);
  assert.equal(post(job(1, { batch: 0 }))?.status, 400);
  assert.equal(post(job(1, { ref: 'job-1' }))?.status, 400);
  assert.equal(post(job(1, { owner: 'nobody' }))?.status, 422);
  assert.equal(post(job(1, { cpus: 64 }))?.status, 422);
  assert.equal(world.raw('n-0', 'GET', `/api/jobs/${A}`, Buffer.alloc(0))?.status, 404);
  assert.equal(world.raw('n-0', 'GET', '/api/jobs/..%2f', Buffer.alloc(0))?.status, 404);
  assert.equal(world.raw('n-0', 'DELETE', `/api/jobs/${A}`, Buffer.alloc(0))?.status, 405);
  assert.equal(world.raw('n-0', 'GET', '/nowhere', Buffer.alloc(0))?.status, 404);
  assert.equal(world.raw('n-0', 'POST', '/hello', packBody({ host: 1 }))?.status, 400);
  assert.equal([...world.state.keys.keys()].filter((k) => k.includes('run-')).length, 0);
});

test('a node that does not know the machine types cannot judge yet', () => {
  const world = new World();
  world.cloud.down = true;
  world.run(8000);
  assert.equal(ask(world, (d) => world.submit(job(1), 'n-0', d))?.status, 503);
});

test('the catalog is kept, so a cloud outage at start does not stop acceptance', () => {
  const world = settled();
  world.run(40_000);
  world.cloud.down = true;
  for (const n of world.nodes) world.crash(n);
  for (const n of world.nodes) world.boot(n);
  world.run(15_000);
  assert.equal(ask(world, (d) => world.submit(job(1), 'n-0', d))?.status, 201);
});

test('take-over while a start is in flight: the task runs once', () => {
  const world = settled();
  world.submit(job(1, { batch: 4, expected_s: 40 }), others(world)[0]!);
  const sent = () => world.log.some((l) => l.message === 'start sent');
  assert.ok(world.runUntil(sent, 10_000));
  const old = world.leader()!;
  world.crash(old);
  assert.ok(finished(world, A, 200_000));
  assert.notEqual(world.leader(), old);
  keepsRules(world);
});

test('a late report after a take-over changes nothing and gets no orders', () => {
  const world = settled({}, 1);
  const worker = [...world.workers.values()][0]!;
  const token = worker.fence;
  world.crash(world.leader()!);
  world.run(15_000);
  assert.ok(worker.fence > token, 'the worker has seen the new leader');
  const piece = { piece: 'run-000009/0', try_no: 1, status: 'running' };
  const { id, type, zone } = worker.machine;
  const place = { host: id, addr: 'x:1', flavour: type, hall: zone, spare: false };
  const late = { ...place, shift: 1, tally: 1, fence: token, warning_s: null, batch: [piece] };
  const reply = world.raw(world.leader()!, 'POST', '/hello', packBody(late));
  assert.equal(reply?.status, 200);
  assert.deepEqual((reply?.body as { orders: unknown[] }).orders, []);
  world.submit(job(1, { batch: 4 }), world.leader()!);
  assert.ok(finished(world, A), 'the whole machine is still free for work');
  keepsRules(world);
});

test('a restarted controller takes its own leadership over with a new token', () => {
  const world = settled();
  const old = world.leader()!;
  const tokens = () =>
    world.log.filter((l) => l.message === 'leading').map((l) => l.fields['token']);
  const before = tokens().length;
  world.crash(old);
  world.boot(old);
  world.run(2000);
  assert.equal(world.leader(), old);
  assert.equal(tokens().length, before + 1);
  assert.equal(new Set(tokens()).size, tokens().length);
});

test('the old leader hangs, is replaced and wakes: nobody takes orders from it', () => {
  const world = settled();
  world.submit(job(1, { batch: 8, expected_s: 30 }), others(world)[0]!);
  world.run(6000);
  const old = world.leader()!;
  world.hang(old, true);
  world.run(25_000);
  assert.notEqual(world.leader(), old);
  world.hang(old, false);
  assert.ok(finished(world, A, 200_000));
  keepsRules(world);
});

test('a worker cut through its lease: its tasks run elsewhere only once it is over', () => {
  const world = settled({}, 2);
  world.submit(job(1, { batch: 6, expected_s: 15 }), 'n-0');
  world.runUntil(() => running(world) >= 6, 20_000);
  const victim = [...world.workers.keys()][0]!;
  world.cuts.add(victim);
  world.run(5000);
  assert.ok(running(world) >= 6, 'nothing was moved yet');
  world.run(30_000);
  world.cuts.delete(victim);
  assert.ok(finished(world, A, 200_000));
  keepsRules(world);
});

test('a hanging machine that wakes within its lease goes on with its tasks', () => {
  const world = settled({}, 2);
  world.submit(job(1, { batch: 6, expected_s: 20 }), 'n-0');
  world.runUntil(() => running(world) >= 6, 20_000);
  const victim = [...world.workers.values()][0]!;
  victim.hanging = true;
  world.run(12_000);
  victim.hanging = false;
  assert.ok(finished(world, A));
  keepsRules(world);
});

test('a lost answer with a start: the task is given to another attempt', () => {
  const world = settled({}, 1);
  const worker = [...world.workers.values()][0]!;
  for (const n of world.nodes) world.cuts.add(`${n}>${worker.machine.id}`);
  world.submit(job(1, { batch: 1 }), 'n-0');
  world.run(6000);
  world.cuts.clear();
  assert.ok(finished(world, A));
  keepsRules(world);
});

test('cancel against done on two nodes: one of them wins for good', () => {
  for (const moment of [0, 100, 200, 300, 400]) {
    const world = settled({ runTime: 3000 }, 1);
    world.submit(job(1, { batch: 1 }), 'n-0');
    const exited = () =>
      [...world.workers.values()].some((w) => w.tasks.some((t) => t.status === 'exited'));
    assert.ok(world.runUntil(exited, 20_000));
    world.run(moment);
    world.cancel(A, others(world)[0]!);
    world.poll(A, others(world)[1]!);
    world.run(5000);
    assert.equal(ask(world, (d) => world.poll(A, 'n-2', d))?.status, 200);
    keepsRules(world);
  }
});

test('a cancelled job is gone from its machines within the limit', () => {
  const world = settled();
  world.submit(job(1, { batch: 4, expected_s: 500 }), 'n-0');
  assert.ok(world.runUntil(() => running(world) === 4, 20_000));
  assert.equal(status(ask(world, (d) => world.cancel(A, 'n-1', d))), 'aborted');
  world.run(10_000);
  assert.equal(running(world), 0);
  keepsRules(world);
});

test('a commit without an answer is 503, and the retry finds the job', () => {
  const world = settled();
  world.stateFault = (_node, call) => (call.path === '/commit' ? 'lost_after' : undefined);
  assert.equal(ask(world, (d) => world.submit(job(1), others(world)[0]!, d))?.status, 503);
  world.stateFault = null;
  assert.equal(ask(world, (d) => world.submit(job(1), 'n-1', d))?.status, 200);
  assert.ok(finished(world, A, 200_000));
  keepsRules(world);
});

test('an election commit without an answer is recognised by its nonce', () => {
  const world = new World();
  let lost = 0;
  world.stateFault = (_node, call) =>
    call.path === '/commit' && lost++ < 1 ? 'lost_after' : undefined;
  assert.ok(world.runUntil(() => world.log.some((l) => l.message === 'leading'), 10_000));
  assert.equal(lost >= 1, true);
});

for (const [name, length] of [
  ['shorter', 6000],
  ['longer', 25_000],
] as const) {
  test(`a state outage ${name} than the leader's lease`, () => {
    const world = settled();
    world.submit(job(1, { batch: 8, expected_s: 30 }), 'n-0');
    world.run(8000);
    world.state.down = true;
    world.run(length);
    assert.equal(ask(world, (d) => world.poll(A, 'n-1', d))?.status, 503);
    world.state.restore();
    assert.ok(finished(world, A, 200_000));
    keepsRules(world);
  });
}

test('an outage common to all leaves the nodes healthy', () => {
  const world = settled();
  world.state.down = true;
  world.run(10_000);
  assert.equal(world.raw('n-0', 'GET', '/healthz', Buffer.alloc(0))?.status, 200);
});

test('a node refused alone by the state service has a peer answer', () => {
  const world = settled();
  const alone = others(world)[0]!;
  world.stateFault = (node) => (node === alone ? 'lost_before' : undefined);
  world.run(6000);
  assert.equal(ask(world, (d) => world.submit(job(1), alone, d))?.status, 201);
  keepsRules(world);
});

test('a leader that hears no worker makes way', () => {
  const world = settled({}, 3);
  const old = world.leader()!;
  world.run(15_000);
  for (const id of world.workers.keys()) {
    world.cuts.add(`${id}>${old}`);
  }
  world.run(20_000);
  assert.notEqual(world.leader(), old);
});

test('all controllers down: work goes on within leases and is done afterwards', () => {
  const world = settled();
  world.submit(job(1, { batch: 6, expected_s: 20 }), 'n-0');
  world.run(8000);
  for (const n of world.nodes) world.crash(n);
  world.run(8000);
  for (const n of world.nodes) world.boot(n);
  assert.ok(finished(world, A));
  keepsRules(world);
});

test("the team's limit holds through a rebuild with a silent machine", () => {
  const world = settled({ cpuLimit: 4 }, 2);
  world.submit(job(1, { batch: 12, expected_s: 30 }), 'n-0');
  assert.ok(world.runUntil(() => running(world) === 4, 20_000));
  world.cuts.add([...world.workers.keys()][0]!);
  world.crash(world.leader()!);
  world.run(40_000);
  world.cuts.clear();
  assert.ok(finished(world, A, 300_000));
  keepsRules(world);
});

test('machines are rented for the backlog and given back when idle', () => {
  const world = new World({ capacity: 4 });
  world.run(5000);
  world.submit(job(1, { batch: 8, expected_s: 20 }), 'n-0');
  assert.ok(finished(world, A));
  assert.ok(world.cloud.rented.length >= 2);
  assert.ok(world.runUntil(() => world.cloud.machines.size === 0, 150_000));
  keepsRules(world);
});

// A machine for one task costs more than a slot's share of it: it was never rented.
test('a single small task without any aim gets a machine', () => {
  const world = new World({ capacity: 4 });
  world.run(5000);
  world.submit(job(1, { batch: 1 }), 'n-0');
  assert.ok(finished(world, A, 150_000));
  keepsRules(world);
});

test('owned machines are never given back', () => {
  const world = settled({}, 2);
  world.run(200_000);
  assert.equal(world.cloud.machines.size, 2);
});

test('a wave of taken machines, some without notice: their tasks run again', () => {
  const world = settled({ capacity: 6 }, 4);
  world.submit(job(1, { batch: 16, expected_s: 30 }), 'n-0');
  world.run(12_000);
  const ids = [...world.workers.keys()].slice(0, 3);
  world.workers.get(ids[0]!)!.warning = 6;
  world.at(6000, () => world.cloud.take(ids[0]!));
  for (const id of ids.slice(1)) world.cloud.take(id);
  assert.ok(finished(world, A, 300_000));
  keepsRules(world);
});

test('a faulty machine is put aside and its tasks run elsewhere', () => {
  const world = settled({ fails: (_piece, machine) => machine === 'm-000001', runTime: 2000 }, 2);
  for (let i = 1; i <= 4; i++) world.submit(job(i), 'n-0');
  for (let i = 1; i <= 4; i++) assert.ok(finished(world, `run-00000${i}`, 200_000));
  keepsRules(world);
});

// A day stood still with thousands of stops: borrowed work of higher priority
// took the room of work inside a guarantee, which was reclaimed, without end.
test('work inside a guarantee and higher borrowed work do not stop each other in turn', () => {
  const world = settled({ capacity: 2, guarantee: 4 }, 2);
  const low = { owner: 'other', urgency: 'idle', batch: 4, expected_s: 40 };
  world.submit(job(1, low), 'n-0');
  world.submit(job(2, { batch: 8, expected_s: 40 }), 'n-0');
  world.run(60_000);
  const stops = world.log.filter((l) => l.message === 'preempting').length;
  assert.ok(stops <= 4, `${stops} stops`);
  assert.ok(finished(world, A));
  assert.ok(finished(world, 'run-000002'));
  keepsRules(world);
});

// Another form of it: small tasks of the borrower took what larger ones reclaimed.
test('a team gets its guarantee back from a team that borrows', () => {
  const world = settled({ capacity: 2, guarantee: 4 }, 2);
  world.submit(job(1, { batch: 30, expected_s: 300 }), 'n-0');
  assert.ok(world.runUntil(() => running(world) === 8, 20_000));
  world.submit(
    job(2, { owner: 'other', urgency: 'idle', batch: 2, cpus: 2, expected_s: 10 }),
    'n-0',
  );
  assert.ok(finished(world, 'run-000002', 120_000));
  keepsRules(world);
});

// A third form: large tasks stopped two small ones of a team that was one beyond
// its guarantee; it was then below it, and reclaimed what had just come free.
test('a team is not pushed below its guarantee', () => {
  const world = settled({ capacity: 2, guarantee: 3 }, 2);
  world.submit(job(1, { batch: 40, expected_s: 200 }), 'n-0');
  assert.ok(world.runUntil(() => running(world) === 8, 20_000));
  world.submit(
    job(2, { owner: 'other', urgency: 'idle', batch: 6, cpus: 2, expected_s: 300 }),
    'n-0',
  );
  world.run(200_000);
  const stops = world.log.filter((l) => l.message === 'preempting').length;
  assert.ok(stops > 0 && stops <= 8, `${stops} stops`);
  keepsRules(world);
});

test('a gang waits until all its tasks fit at once, and a service runs until cancelled', () => {
  const world = settled({ capacity: 2 }, 2);
  world.submit(job(1, { batch: 2, cpus: 3, shape: 'service', expected_s: 1e6 }), 'n-0');
  assert.ok(world.runUntil(() => running(world) === 2, 20_000));
  world.submit(job(2, { batch: 3, cpus: 1, shape: 'group' }), 'n-0');
  world.run(15_000);
  assert.equal(running(world), 2, 'two of three would fit, so none is started');
  world.cancel(A, 'n-1');
  assert.ok(world.runUntil(() => running(world) === 3, 20_000));
  assert.ok(finished(world, 'run-000002'));
  keepsRules(world);
});

test('a job that fails everywhere backs off and starves nobody', () => {
  const world = settled({ fails: (piece) => piece.startsWith(A), runTime: 1000 }, 2);
  world.submit(job(1), 'n-0');
  world.run(60_000);
  const tries = world.log.filter((l) => l.message === 'task failed').length;
  assert.ok(tries < 40, `${tries} tries`);
  world.submit(job(2), 'n-1');
  assert.ok(finished(world, 'run-000002'));
});

test('higher priority gets room from lower, which runs again', () => {
  const world = settled({ capacity: 1 }, 1);
  world.submit(job(1, { batch: 4, urgency: 'idle', expected_s: 60 }), 'n-0');
  assert.ok(world.runUntil(() => running(world) === 4, 20_000));
  world.submit(job(2, { batch: 1, urgency: 'urgent', expected_s: 5 }), 'n-0');
  assert.ok(finished(world, 'run-000002', 30_000));
  assert.ok(finished(world, A, 300_000));
  keepsRules(world);
});

test('a big job keeps its progress in chunks through a take-over', () => {
  const world = settled({ runTime: 200, capacity: 2 }, 2);
  world.submit(job(1, { batch: 9000, cpus: 0.01, mem_gb: 0.01 }), 'n-0');
  const stored = () =>
    [...world.state.keys].reduce(
      (n, [k, e]) => n + (k.includes('/progress/') ? doneIn(e.v) : 0),
      0,
    );
  assert.ok(world.runUntil(() => stored() > 100, 60_000));
  const before = stored();
  world.crash(world.leader()!);
  world.run(30_000);
  const reply = ask(world, (d) => world.poll(A, [...world.alive.keys()][0]!, d));
  assert.ok(((reply?.body as { done: number }).done ?? 0) >= before);
  keepsRules(world);
});

test('what a big job leaves behind in the state service is removed', () => {
  const world = settled({ runTime: 200, capacity: 2, txnOps: 2 }, 2);
  world.submit(job(1, { batch: 8200, cpus: 0.005, mem_gb: 0.005 }), 'n-0');
  assert.ok(finished(world, A, 300_000));
  const left = () => [...world.state.keys.keys()].filter((k) => k.includes('/live/'));
  assert.ok(
    world.runUntil(() => left().length === 0, 10_000),
    left().join(),
  );
  keepsRules(world);
});

test('a controller shows what it has counted and how long things took', () => {
  const world = settled();
  world.submit(job(1, { batch: 4 }), 'n-0');
  assert.ok(finished(world, A));
  const reply = world.raw(world.leader()!, 'GET', '/metrics', Buffer.alloc(0));
  const { counters, histograms } = reply?.body as StatsView;
  assert.ok(counters['reports.counted']! > 4);
  assert.equal(counters['bindings.ended.done'], 4);
  assert.equal(histograms['starts.booked_to_sent_ms']?.count, 4);
  assert.ok(histograms['takeover.ready_ms']!.max > 0);
  assert.equal(world.raw('n-0', 'POST', '/metrics', Buffer.alloc(0))?.status, 405);
});

/** Tasks that a shard of the progress table calls done. */
function doneIn(value: unknown): number {
  const bits = Object.values((value as { entries: Record<string, string> }).entries).join('');
  return [...Buffer.from(bits, 'base64')].reduce((n, byte) => n + popCount(byte), 0);
}

const popCount = (byte: number): number => [...byte.toString(2)].filter((b) => b === '1').length;

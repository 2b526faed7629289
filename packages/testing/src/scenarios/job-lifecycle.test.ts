import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StatsSnapshot } from '@tealdock/controller';
import { packBody } from '@tealdock/wire';
import { job, SimulatedCluster } from '../index.js';
import {
  JOB1,
  replyTo,
  runUntilDone,
  assertNoViolations,
  followers,
  runningTaskCount,
  readyCluster,
  statusOf,
} from './steps.js';

test('a job is accepted, runs, and is still reported as done afterwards', () => {
  const cluster = readyCluster();
  assert.equal(replyTo(cluster, (d) => cluster.submit(job(1), 'n-0', d))?.status, 201);
  assert.ok(runUntilDone(cluster, JOB1));
  const again = replyTo(cluster, (d) => cluster.submit(job(1), 'n-1', d));
  assert.equal(again?.status, 200);
  assert.equal(statusOf(again), 'done');
  assertNoViolations(cluster);
});

test('a repeated submission of a job that is done gets status 200 even if it names an unknown team', () => {
  const cluster = readyCluster();
  cluster.submit(job(1), 'n-0');
  assert.ok(runUntilDone(cluster, JOB1));
  const unknownTeam = replyTo(cluster, (d) => cluster.submit(job(1, { owner: 'gone' }), 'n-1', d));
  assert.equal(unknownTeam?.status, 200);
  assertNoViolations(cluster);
});

test('invalid requests get the documented status and store nothing', () => {
  const cluster = readyCluster();
  const post = (body: unknown) => cluster.request('n-0', 'POST', '/api/jobs', packBody(body));
  assert.equal(post('text')?.status, 400);
  assert.equal(post(job(1, { batch: 0 }))?.status, 400);
  assert.equal(post(job(1, { ref: 'job-1' }))?.status, 400);
  assert.equal(post(job(1, { owner: 'nobody' }))?.status, 422);
  assert.equal(post(job(1, { cpus: 64 }))?.status, 422);
  assert.equal(cluster.request('n-0', 'GET', `/api/jobs/${JOB1}`, Buffer.alloc(0))?.status, 404);
  assert.equal(cluster.request('n-0', 'GET', '/api/jobs/..%2f', Buffer.alloc(0))?.status, 404);
  assert.equal(cluster.request('n-0', 'DELETE', `/api/jobs/${JOB1}`, Buffer.alloc(0))?.status, 405);
  assert.equal(cluster.request('n-0', 'GET', '/nowhere', Buffer.alloc(0))?.status, 404);
  assert.equal(cluster.request('n-0', 'POST', '/hello', packBody({ host: 1 }))?.status, 400);
  assert.equal([...cluster.state.keys.keys()].filter((k) => k.includes('run-')).length, 0);
});

test('a submission gets 503 while the node has not loaded the machine catalog', () => {
  const cluster = new SimulatedCluster();
  cluster.cloud.down = true;
  cluster.run(8000);
  assert.equal(replyTo(cluster, (d) => cluster.submit(job(1), 'n-0', d))?.status, 503);
});

test('restarted controllers accept jobs during a cloud outage, since the catalog is stored', () => {
  const cluster = readyCluster();
  cluster.run(40_000);
  cluster.cloud.down = true;
  for (const n of cluster.nodeNames) cluster.crash(n);
  for (const n of cluster.nodeNames) cluster.boot(n);
  cluster.run(15_000);
  assert.equal(replyTo(cluster, (d) => cluster.submit(job(1), 'n-0', d))?.status, 201);
});

test('the leader crashes with starts in flight: the job completes and no task runs twice at once', () => {
  const cluster = readyCluster();
  cluster.submit(job(1, { batch: 4, expected_s: 40 }), followers(cluster)[0]!);
  const sent = () => cluster.logLines.some((l) => l.message === 'start dispatched');
  assert.ok(cluster.runUntil(sent, 10_000));
  const old = cluster.leader()!;
  cluster.crash(old);
  assert.ok(runUntilDone(cluster, JOB1, 200_000));
  assert.notEqual(cluster.leader(), old);
  assertNoViolations(cluster);
});

// The answer would renew the worker's lease, so it must stop tasks whose job is not live.
test('a late heartbeat with an older fencing token changes nothing, and its answer starts no task', () => {
  const cluster = readyCluster({}, 1);
  const worker = [...cluster.workers.values()][0]!;
  const token = worker.fencingToken;
  cluster.crash(cluster.leader()!);
  cluster.run(15_000);
  assert.ok(worker.fencingToken > token, 'the worker has seen the new leader');
  const piece = { piece: 'run-000009/0', try_no: 1, status: 'running' };
  const { id, type, zone } = worker.machine;
  const place = { host: id, addr: 'x:1', flavour: type, hall: zone, spare: false };
  const late = { ...place, shift: 1, tally: 1, fence: token, warning_s: null, batch: [piece] };
  const reply = cluster.request(cluster.leader()!, 'POST', '/hello', packBody(late));
  assert.equal(reply?.status, 200);
  assert.deepEqual((reply.body as { orders: unknown[] }).orders, [
    { verb: 'kill', piece: piece.piece, try_no: 1, wind_down_s: 0 },
  ]);
  cluster.submit(job(1, { batch: 4 }), cluster.leader()!);
  assert.ok(runUntilDone(cluster, JOB1), 'the whole machine is still free');
  assertNoViolations(cluster);
});

test('a restarted leader regains leadership at once, under a new fencing token', () => {
  const cluster = readyCluster();
  const old = cluster.leader()!;
  const tokens = () =>
    cluster.logLines
      .filter((l) => l.message === 'leadership acquired')
      .map((l) => l.fields['fencingToken']);
  const before = tokens().length;
  cluster.crash(old);
  cluster.boot(old);
  cluster.run(2000);
  assert.equal(cluster.leader(), old);
  assert.equal(tokens().length, before + 1);
  assert.equal(new Set(tokens()).size, tokens().length);
});

test('a leader that hangs until it is deposed causes no lost or double run when it resumes', () => {
  const cluster = readyCluster();
  cluster.submit(job(1, { batch: 8, expected_s: 30 }), followers(cluster)[0]!);
  cluster.run(6000);
  const old = cluster.leader()!;
  cluster.hang(old, true);
  cluster.run(25_000);
  assert.notEqual(cluster.leader(), old);
  cluster.hang(old, false);
  assert.ok(runUntilDone(cluster, JOB1, 200_000));
  assertNoViolations(cluster);
});

test('tasks of an unreachable worker are started elsewhere only after its lease has expired', () => {
  const cluster = readyCluster({}, 2);
  cluster.submit(job(1, { batch: 6, expected_s: 15 }), 'n-0');
  cluster.runUntil(() => runningTaskCount(cluster) >= 6, 20_000);
  const victim = [...cluster.workers.keys()][0]!;
  cluster.network.cuts.add(victim);
  cluster.run(5000);
  assert.ok(runningTaskCount(cluster) >= 6, 'no task was moved yet');
  cluster.run(30_000);
  cluster.network.cuts.delete(victim);
  assert.ok(runUntilDone(cluster, JOB1, 200_000));
  assertNoViolations(cluster);
});

test('a machine that resumes from a hang within its lease continues its tasks', () => {
  const cluster = readyCluster({}, 2);
  cluster.submit(job(1, { batch: 6, expected_s: 20 }), 'n-0');
  cluster.runUntil(() => runningTaskCount(cluster) >= 6, 20_000);
  const victim = [...cluster.workers.values()][0]!;
  victim.isHung = true;
  cluster.run(12_000);
  victim.isHung = false;
  assert.ok(runUntilDone(cluster, JOB1));
  assertNoViolations(cluster);
});

test('a task whose start was lost with the answer is started again', () => {
  const cluster = readyCluster({}, 1);
  const worker = [...cluster.workers.values()][0]!;
  for (const n of cluster.nodeNames) cluster.network.cuts.add(`${n}>${worker.machine.id}`);
  cluster.submit(job(1, { batch: 1 }), 'n-0');
  cluster.run(6000);
  cluster.network.cuts.clear();
  assert.ok(runUntilDone(cluster, JOB1));
  assertNoViolations(cluster);
});

test('a cancellation that races with the completion of a job yields one lasting final status', () => {
  for (const delay of [0, 100, 200, 300, 400]) {
    const cluster = readyCluster({ runTime: 3000 }, 1);
    cluster.submit(job(1, { batch: 1 }), 'n-0');
    const exited = () =>
      [...cluster.workers.values()].some((w) => w.tasks.some((t) => t.status === 'exited'));
    assert.ok(cluster.runUntil(exited, 20_000));
    cluster.run(delay);
    cluster.cancel(JOB1, followers(cluster)[0]!);
    cluster.poll(JOB1, followers(cluster)[1]!);
    cluster.run(5000);
    assert.equal(replyTo(cluster, (d) => cluster.poll(JOB1, 'n-2', d))?.status, 200);
    assertNoViolations(cluster);
  }
});

test('all tasks of a cancelled job are stopped within the limit', () => {
  const cluster = readyCluster();
  cluster.submit(job(1, { batch: 4, expected_s: 500 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 20_000));
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(JOB1, 'n-1', d))), 'aborted');
  cluster.run(10_000);
  assert.equal(runningTaskCount(cluster), 0);
  assertNoViolations(cluster);
});

test('a submission whose commit gets no answer returns 503, and its retry finds the job', () => {
  const cluster = readyCluster();
  cluster.stateLink.fault = (_node, call) => (call.path === '/commit' ? 'lost_after' : undefined);
  assert.equal(
    replyTo(cluster, (d) => cluster.submit(job(1), followers(cluster)[0]!, d))?.status,
    503,
  );
  cluster.stateLink.fault = null;
  assert.equal(replyTo(cluster, (d) => cluster.submit(job(1), 'n-1', d))?.status, 200);
  assert.ok(runUntilDone(cluster, JOB1, 200_000));
  assertNoViolations(cluster);
});

test('a candidate whose election commit gets no answer recognises it by its nonce', () => {
  const cluster = new SimulatedCluster();
  let lost = 0;
  cluster.stateLink.fault = (_node, call) =>
    call.path === '/commit' && lost++ < 1 ? 'lost_after' : undefined;
  assert.ok(
    cluster.runUntil(
      () => cluster.logLines.some((l) => l.message === 'leadership acquired'),
      10_000,
    ),
  );
  assert.equal(lost >= 1, true);
});

for (const [name, length] of [
  ['shorter', 6000],
  ['longer', 25_000],
] as const) {
  test(`a job completes after a state service outage ${name} than the leader's lease`, () => {
    const cluster = readyCluster();
    cluster.submit(job(1, { batch: 8, expected_s: 30 }), 'n-0');
    cluster.run(8000);
    cluster.state.down = true;
    cluster.run(length);
    assert.equal(replyTo(cluster, (d) => cluster.poll(JOB1, 'n-1', d))?.status, 503);
    cluster.state.restore();
    assert.ok(runUntilDone(cluster, JOB1, 200_000));
    assertNoViolations(cluster);
  });
}

test('nodes report themselves healthy during a state service outage that affects all of them', () => {
  const cluster = readyCluster();
  cluster.state.down = true;
  cluster.run(10_000);
  assert.equal(cluster.request('n-0', 'GET', '/healthz', Buffer.alloc(0))?.status, 200);
});

test('a node that alone cannot reach the state service forwards submissions to a peer', () => {
  const cluster = readyCluster();
  const alone = followers(cluster)[0]!;
  cluster.stateLink.fault = (node) => (node === alone ? 'lost_before' : undefined);
  cluster.run(6000);
  assert.equal(replyTo(cluster, (d) => cluster.submit(job(1), alone, d))?.status, 201);
  assertNoViolations(cluster);
});

test('a leader that receives no heartbeats resigns, and another node is elected', () => {
  const cluster = readyCluster({}, 3);
  const old = cluster.leader()!;
  cluster.run(15_000);
  for (const id of cluster.workers.keys()) {
    cluster.network.cuts.add(`${id}>${old}`);
  }
  cluster.run(20_000);
  assert.notEqual(cluster.leader(), old);
});

test('a job completes although all controllers are down for part of the worker lease', () => {
  const cluster = readyCluster();
  cluster.submit(job(1, { batch: 6, expected_s: 20 }), 'n-0');
  cluster.run(8000);
  for (const n of cluster.nodeNames) cluster.crash(n);
  cluster.run(8000);
  for (const n of cluster.nodeNames) cluster.boot(n);
  assert.ok(runUntilDone(cluster, JOB1));
  assertNoViolations(cluster);
});

test("a new leader keeps to the team's limit while a machine is unreachable", () => {
  const cluster = readyCluster({ cpuLimit: 4 }, 2);
  cluster.submit(job(1, { batch: 12, expected_s: 30 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 20_000));
  cluster.network.cuts.add([...cluster.workers.keys()][0]!);
  cluster.crash(cluster.leader()!);
  cluster.run(40_000);
  cluster.network.cuts.clear();
  assert.ok(runUntilDone(cluster, JOB1, 300_000));
  assertNoViolations(cluster);
});

test('GET /metrics returns counters and histograms, and POST is refused', () => {
  const cluster = readyCluster();
  cluster.submit(job(1, { batch: 4 }), 'n-0');
  assert.ok(runUntilDone(cluster, JOB1));
  const reply = cluster.request(cluster.leader()!, 'GET', '/metrics', Buffer.alloc(0));
  const { counters, histograms } = reply?.body as StatsSnapshot;
  assert.ok(counters['reports.counted']! > 4);
  assert.equal(counters['bindings.ended.done'], 4);
  assert.equal(histograms['starts.booked_to_sent_ms']?.count, 4);
  assert.ok(histograms['takeover.ready_ms']!.max > 0);
  assert.equal(cluster.request('n-0', 'POST', '/metrics', Buffer.alloc(0))?.status, 405);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { packBody } from '@tealdock/wire';
import { SimulatedCluster, job } from '../index.js';
import {
  JOB1,
  waitsOn,
  JOB2,
  hasStarted,
  crashLeader,
  runUntilDone,
  jobId,
  assertNoViolations,
  followers,
  readyCluster,
  submitAccepted,
  polledStatus,
} from './steps.js';

test('a job starts once the last of its predecessors is done, across a change of leader', () => {
  for (const delay of [2000, 6000, 10_000, 14_000]) {
    const cluster = readyCluster({ runTimeOf: (p) => (p.startsWith(JOB1) ? 4000 : 12_000) });
    submitAccepted(cluster, 1);
    submitAccepted(cluster, 2);
    submitAccepted(cluster, 3, waitsOn(1, 2, 1));
    assert.equal(polledStatus(cluster, 3, 'n-1'), 'queued');
    cluster.at(delay, () => crashLeader(cluster));
    assert.ok(runUntilDone(cluster, jobId(3)));
    assertNoViolations(cluster);
  }
});

test('a job that is accepted as its predecessor ends starts neither too early nor too late', () => {
  for (let delay = 0; delay <= 1500; delay += 100) {
    const cluster = readyCluster({ runTime: 2000 });
    cluster.submit(job(1), 'n-0');
    assert.ok(cluster.runUntil(() => cluster.checker.doneTasks(JOB1).size === 2, 20_000));
    cluster.run(delay);
    submitAccepted(cluster, 2, waitsOn(1));
    assert.ok(runUntilDone(cluster, JOB2, 20_000), `submitted ${delay} ms after the last task`);
    assertNoViolations(cluster);
  }
});

// Only the stored end of a predecessor releases its dependents: until then its tasks may run again.
test('a job is not released before the end of its predecessor is committed', () => {
  const cluster = readyCluster({ runTime: 3000 });
  cluster.stateLink.fault = (_node, call) =>
    call.writeCount >= 2 && JSON.stringify(call.body).includes('ended/')
      ? 'lost_before'
      : undefined;
  submitAccepted(cluster, 1);
  submitAccepted(cluster, 2, waitsOn(1));
  assert.ok(cluster.runUntil(() => cluster.checker.doneTasks(JOB1).size === 2, 30_000));
  cluster.run(10_000);
  assert.ok(!hasStarted(cluster, 2));
  cluster.stateLink.fault = null;
  assert.ok(runUntilDone(cluster, JOB2));
  assertNoViolations(cluster);
});

// With few writes a second, ends queue up after a change of leader, and dependents wait for them.
test('ends that dependents wait for are committed first, ends of cancelled dependents last', () => {
  const [firstPlain, awaited, urgent, cancelled, dependentOfCancelled] = [1, 6, 7, 8, 9];
  const cluster = readyCluster(
    {
      capacity: 4,
      runTime: 3000,
      announcedLimits: { maxTransactionWrites: 2, maxValueBytes: 4096 },
    },
    4,
  );
  cluster.stateLink.fault = (_node, call) =>
    call.writeCount >= 2 && JSON.stringify(call.body).includes('"done"')
      ? 'lost_before'
      : undefined;
  // One after another, so that they complete in this order.
  const submit = (n: number, overrides: Record<string, unknown>) => {
    submitAccepted(cluster, n, overrides);
    cluster.run(4500);
  };
  submit(cancelled, { expected_s: 500 });
  for (let n = firstPlain; n < awaited; n++) submit(n, { batch: 1 });
  submit(awaited, { batch: 1 });
  submit(urgent, { batch: 1 });
  submit(20, { batch: 1, ...waitsOn(awaited) });
  submit(21, { batch: 1, urgency: 'urgent', ...waitsOn(urgent) });
  submit(dependentOfCancelled, { batch: 1, ...waitsOn(cancelled) });
  const ran = (n: number) => cluster.checker.doneTasks(jobId(n)).size === 1;
  assert.ok(cluster.runUntil(() => [1, 2, 3, 4, 5, awaited, urgent].every(ran), 60_000));
  cluster.cancel(jobId(cancelled), followers(cluster)[0]!);
  cluster.run(150);
  cluster.stateLink.fault = null;
  cluster.run(8000);
  const endedAt = (n: number) => cluster.state.keys.get(`tealdock/ended/${jobId(n)}`)?.stamp ?? NaN;
  const order = [urgent, awaited, 1, 2, 3, 4, 5, dependentOfCancelled].map(endedAt);
  assert.ok(order.every(Number.isFinite), 'all have ended');
  assert.deepEqual(
    order,
    [...order].sort((a, b) => a - b),
  );
  assert.ok(runUntilDone(cluster, jobId(20)) && runUntilDone(cluster, jobId(21)));
  assertNoViolations(cluster);
});

test('submissions with invalid predecessors are refused with the documented status', () => {
  const cluster = readyCluster();
  const post = (n: number, waits: unknown, node = 'n-0') =>
    cluster.request(node, 'POST', '/api/jobs', packBody(job(n, { waits_on: waits })))?.status;
  assert.equal(post(2, 'run-000001'), 400);
  assert.equal(post(2, [1]), 400);
  assert.equal(post(2, [JOB1]), 422, 'names a job that was never accepted');
  assert.equal(post(2, ['job one']), 422);
  submitAccepted(cluster, 1, { expected_s: 500 });
  assert.equal(post(2, [JOB2, JOB1]), 422, 'names the job itself');
  const many = Array.from({ length: 500 }, (_, i) => jobId(1000 + i));
  const tooMany = cluster.request('n-0', 'POST', '/api/jobs', packBody(job(2, { waits_on: many })));
  assert.equal(tooMany?.status, 400);
  assert.match((tooMany.body as { error: string }).error, /^waits_on/);
  cluster.stateLink.fault = (node) => (node === 'n-2' ? 'lost_before' : undefined);
  for (const n of ['n-0', 'n-1']) cluster.network.cuts.add(`n-2>${n}`);
  let statusWithoutState: number | undefined;
  cluster.submit(job(2, waitsOn(1)), 'n-2', (r) => (statusWithoutState = r?.status));
  cluster.run(5000);
  assert.equal(statusWithoutState, 503);
  cluster.stateLink.fault = null;
  cluster.network.cuts.clear();
  for (const [n, none] of [null, [], undefined].entries()) {
    submitAccepted(cluster, 10 + n, { waits_on: none });
  }
  submitAccepted(cluster, 2, waitsOn(1, 1));
  assert.equal(post(2, 'anything'), 200, 'a known job gets 200 whatever the body says');
  assert.equal(post(2, [jobId(99)]), 200);
  assertNoViolations(cluster);
});

test('an unreleased job rents nothing, uses no guarantee, and its objectives count from its release', () => {
  const cluster = new SimulatedCluster({
    capacity: 6,
    guarantee: 4,
    runTimeOf: (p) => (p.startsWith(JOB1) ? 150_000 : 4000),
  });
  cluster.run(5000);
  submitAccepted(cluster, 1, { batch: 1 });
  submitAccepted(cluster, 2, { batch: 16, ...waitsOn(1) });
  cluster.run(140_000);
  assert.ok(cluster.cloud.rentedIds.length <= 2, `${cluster.cloud.rentedIds.length} machines`);
  assert.ok(!hasStarted(cluster, 2));
  crashLeader(cluster);
  // It waited for more than two minutes, but its age counts from its release.
  assert.ok(runUntilDone(cluster, JOB2, 200_000));
  assertNoViolations(cluster);
});

// A job whose predecessor ended within the term can't have been started by an earlier leader.
test('a job released within the term is placed before the registry is reconciled, others are not', () => {
  const cluster = readyCluster({
    capacity: 4,
    runTimeOf: (p) => (p.startsWith(JOB1) ? 20_000 : p.startsWith(jobId(3)) ? 1000 : 40_000),
  });
  submitAccepted(cluster, 1, { batch: 1 });
  submitAccepted(cluster, 2, { batch: 1, urgency: 'urgent', ...waitsOn(1) });
  submitAccepted(cluster, 3, { batch: 1 });
  submitAccepted(cluster, 4, { batch: 30, ...waitsOn(3) });
  assert.ok(cluster.runUntil(() => hasStarted(cluster, 4), 20_000));
  const lost = [...cluster.workers.values()].find(
    (w) => !w.tasks.some((t) => t.piece.startsWith(JOB1)),
  );
  cluster.network.cuts.add(lost!.machine.id);
  const from = cluster.logLines.length;
  crashLeader(cluster);
  assert.ok(cluster.runUntil(() => hasStarted(cluster, 2), 40_000));
  const term = cluster.logLines.slice(from);
  assert.ok(
    !term.some((l) => l.message === 'machine registry reconciled'),
    'one machine is not reconciled yet',
  );
  const startsOfEarlierRelease = term.filter(
    (l) => l.message === 'start dispatched' && String(l.fields['task']).startsWith(jobId(4)),
  );
  const since = term.findIndex((l) => l.message === 'leadership acquired');
  assert.deepEqual(
    startsOfEarlierRelease.filter((l) => term.indexOf(l) > since),
    [],
    'a job released before the term waits for the registry',
  );
  cluster.endFaults();
  assert.ok(runUntilDone(cluster, jobId(4), 300_000));
  assertNoViolations(cluster);
});

test('a later leader knows when a job was released', () => {
  const cluster = readyCluster(
    { capacity: 1, runTimeOf: (p) => (p.startsWith(JOB1) ? 3000 : 60_000) },
    1,
  );
  submitAccepted(cluster, 1, { batch: 1 });
  submitAccepted(cluster, 2, { batch: 8, ...waitsOn(1) });
  assert.ok(cluster.runUntil(() => hasStarted(cluster, 2), 20_000));
  cluster.run(20_000);
  const from = cluster.logLines.length;
  crashLeader(cluster);
  cluster.run(20_000);
  const released = cluster.logLines.slice(from).find((l) => l.message === 'job released');
  const ago = Number(released?.fields['ageMs']);
  assert.ok(ago > 20_000 && ago < 40_000, `${ago} ms ago`);
  assertNoViolations(cluster);
});

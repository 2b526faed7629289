import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster, job } from '../index.js';
import {
  JOB1,
  waitsOn,
  replyTo,
  JOB2,
  hasStarted,
  crashLeader,
  runUntilDone,
  jobId,
  assertNoViolations,
  followers,
  readyCluster,
  statusOf,
  submitAccepted,
  polledStatus,
} from './steps.js';

const CANCELLATION_LIMIT_MS = 45_000;

/** Submits a job that waits on these jobs, and asserts that it is accepted within 4 s. */
function submitDependent(
  cluster: SimulatedCluster,
  n: number,
  waits: number[],
  node: string,
): void {
  const overrides = { batch: 1, expected_s: 1, ...waitsOn(...waits) };
  cluster.submit(job(n, overrides), node);
  assert.ok(
    cluster.runUntil(() => cluster.checker.isAccepted(jobId(n)), 4000),
    jobId(n),
  );
}

test('a dependent gets the final status of a predecessor that is cancelled as it completes', () => {
  for (let delay = 0; delay <= 800; delay += 100) {
    const cluster = readyCluster({ runTime: 3000 }, 1);
    submitAccepted(cluster, 1, { batch: 1 });
    submitAccepted(cluster, 2, { batch: 1, ...waitsOn(1) });
    const exited = () => cluster.checker.doneTasks(JOB1).size === 1;
    assert.ok(cluster.runUntil(exited, 20_000));
    cluster.run(delay);
    cluster.cancel(JOB1, followers(cluster)[0]!);
    cluster.poll(JOB1, followers(cluster)[1]!);
    cluster.run(15_000);
    const end = polledStatus(cluster, 1, 'n-0');
    assert.ok(end === 'done' || end === 'aborted');
    assert.equal(polledStatus(cluster, 2, 'n-1'), end);
    assertNoViolations(cluster);
  }
});

test('dependents of a cancelled job end without a start, despite an outage and with no leader', () => {
  const cluster = readyCluster();
  submitAccepted(cluster, 1, { expected_s: 500 });
  submitAccepted(cluster, 2, waitsOn(1));
  submitAccepted(cluster, 3, waitsOn(2));
  submitAccepted(cluster, 4, waitsOn(2, 3));
  const [b, c] = followers(cluster);
  const leader = cluster.leader()!;
  // The leader crashes right after the cancellation, and there is no leader until the polls.
  for (const n of ['state', ...cluster.nodeNames]) cluster.network.cuts.add(`${n}>${leader}`);
  cluster.network.cuts.add(`${leader}>state`);
  cluster.run(1500);
  cluster.cancel(JOB1, b!);
  cluster.run(500);
  cluster.crash(leader);
  cluster.state.down = true;
  cluster.run(CANCELLATION_LIMIT_MS + 10_000);
  cluster.state.restore();
  assert.equal(cluster.checker.finalStatus(JOB1), 'aborted');
  for (const n of [4, 3, 2]) cluster.poll(jobId(n), c!);
  cluster.run(1500);
  for (const n of [2, 3, 4])
    assert.equal(cluster.checker.finalStatus(jobId(n)), 'aborted', jobId(n));
  for (const n of [2, 3, 4]) assert.equal(polledStatus(cluster, n, b!), 'aborted');
  cluster.boot(leader);
  cluster.run(20_000);
  for (const n of [2, 3, 4]) assert.ok(!hasStarted(cluster, n));
  assertNoViolations(cluster);
});

test('the leader ends all dependents of a cancelled job without a poll, and starts none of them', () => {
  for (const withoutLeader of [false, true]) {
    const cluster = readyCluster({ capacity: 4 }, 4);
    submitAccepted(cluster, 1, { expected_s: 500 });
    for (let n = 2; n <= 12; n++) submitDependent(cluster, n, n % 3 === 0 ? [1] : [n - 1], 'n-0');
    if (withoutLeader) crashLeader(cluster);
    cluster.cancel(
      JOB1,
      followers(cluster).find((n) => cluster.processes.running.has(n))!,
    );
    cluster.run(25_000);
    const live = [...cluster.state.keys.keys()].filter((k) => k.includes('/live/'));
    assert.deepEqual(live, []);
    for (let n = 2; n <= 12; n++) assert.ok(!hasStarted(cluster, n), jobId(n));
    for (let n = 2; n <= 12; n++) assert.equal(polledStatus(cluster, n, 'n-2'), 'aborted');
    assertNoViolations(cluster);
  }
});

test('a job submitted with a cancelled predecessor is accepted and reported as cancelled', () => {
  const cluster = readyCluster();
  submitAccepted(cluster, 1, { expected_s: 500 });
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(JOB1, 'n-1', d))), 'aborted');
  const reply = replyTo(cluster, (d) => cluster.submit(job(2, waitsOn(1)), 'n-2', d));
  assert.deepEqual([reply?.status, statusOf(reply)], [201, 'aborted']);
  assert.equal(polledStatus(cluster, 2, 'n-0'), 'aborted');
  assert.equal(replyTo(cluster, (d) => cluster.submit(job(2, waitsOn(1)), 'n-0', d))?.status, 200);
  assert.equal(replyTo(cluster, (d) => cluster.submit(job(3, waitsOn(2)), 'n-0', d))?.status, 201);
  assert.equal(polledStatus(cluster, 3, 'n-1'), 'aborted');
  assertNoViolations(cluster);
});

test('a cancellation that finds the job done does not stop its dependents', () => {
  const cluster = readyCluster({ runTime: 2000 });
  submitAccepted(cluster, 1);
  assert.ok(runUntilDone(cluster, JOB1));
  submitAccepted(cluster, 2, { expected_s: 10, ...waitsOn(1) });
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(JOB1, 'n-2', d))), 'done');
  assert.ok(runUntilDone(cluster, JOB2));
  assertNoViolations(cluster);
});

test('hundreds of dependents all run in order, or all end if the first job is cancelled', () => {
  for (const cancels of [false, true]) {
    const cluster = readyCluster({ capacity: 8, runTime: 400 }, 8);
    const [first, wide, deep] = [1, 120, 60];
    if (cancels) cluster.options.runTime = 300_000;
    submitAccepted(cluster, first, { batch: 1, expected_s: 1 });
    for (let i = 0; i < wide; i++)
      submitDependent(cluster, 2 + i, [first], cluster.nodeNames[i % 3]!);
    for (let i = 0; i < deep; i++) {
      submitDependent(
        cluster,
        500 + i,
        i === 0 ? [2, 3, 4] : [500 + i - 1, 2 + i],
        cluster.nodeNames[i % 3]!,
      );
    }
    const all = [...Array(wide).keys()].map((i) => 2 + i);
    all.push(...[...Array(deep).keys()].map((i) => 500 + i));
    if (cancels) {
      crashLeader(cluster, 20_000);
      assert.equal(
        statusOf(
          replyTo(cluster, (d) =>
            cluster.cancel(JOB1, [...cluster.processes.running.keys()][0]!, d),
          ),
        ),
        'aborted',
      );
      cluster.run(CANCELLATION_LIMIT_MS);
      for (const n of all) cluster.poll(jobId(n), cluster.nodeNames[n % 3]!);
      cluster.run(3000);
      for (const n of all) assert.equal(cluster.checker.finalStatus(jobId(n)), 'aborted', jobId(n));
    } else {
      const done = () => all.every((n) => cluster.checker.doneTasks(jobId(n)).size === 1);
      assert.ok(cluster.runUntil(done, 400_000));
    }
    assertNoViolations(cluster);
  }
});

test('a poll of the last job of a deep chain takes few requests to the state service', () => {
  const cluster = readyCluster({}, 1);
  submitAccepted(cluster, 1, { expected_s: 500 });
  for (let n = 2; n <= 60; n++) submitDependent(cluster, n, [n - 1], 'n-0');
  for (const node of ['n-1', 'n-2']) {
    let calls = 0;
    cluster.stateLink.fault = (node, call) => {
      if (node === node && call.priority === 1) calls++;
      return undefined;
    };
    let answered = false;
    const isAnswered = () => answered;
    for (let turn = 0; turn < 8 && !isAnswered(); turn++) {
      const before = calls;
      cluster.poll(jobId(60), node, (r) => (answered = r?.status === 200));
      cluster.run(2000);
      assert.ok(calls - before <= 50, `${calls - before} requests`);
    }
    assert.ok(answered);
    const before = calls;
    cluster.poll(jobId(60), node);
    cluster.run(1000);
    assert.ok(calls - before <= 4, 'what earlier polls read is remembered');
  }
  assertNoViolations(cluster);
});

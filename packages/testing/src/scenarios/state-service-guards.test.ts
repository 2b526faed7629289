import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call } from '@tealdock/controller';
import { SimulatedCluster, job } from '../index.js';
import {
  JOB1,
  replyTo,
  runUntilDone,
  jobId,
  assertNoViolations,
  followers,
  runningTaskCount,
  readyCluster,
  statusOf,
} from './steps.js';

/** Keys that a transaction writes; empty for any other call. */
function writtenKeys(call: Call): string[] {
  if (call.path !== '/commit') return [];
  const { writes } = call.body as { writes: { write?: string }[] };
  return writes.flatMap(({ write }) => write ?? []);
}

test('writes of progress use at most their share of the write rate', () => {
  const [writesPerSecond, seconds] = [16, 30];
  const cluster = readyCluster(
    {
      capacity: 40,
      cpuLimit: 10_000,
      announcedLimits: { maxValueBytes: 1024, maxTransactionWrites: 4 },
      limits: { sockets: 4000, requestsPerSecond: 400, writesPerSecond },
      // Tasks of each job end one after another, so that all jobs have progress to store.
      runTimeOf: (p) => 6000 + Number(p.split('/')[1]) * 3500 + (Number(p.slice(4, 10)) % 7) * 400,
    },
    40,
  );
  const jobs = Array.from({ length: 120 }, (_, i) => i + 1);
  for (const n of jobs) {
    cluster.submit(job(n, { batch: 10, cpus: 0.1, mem_gb: 0.1 }), cluster.nodeNames[n % 3]!);
    cluster.run(150);
  }
  let changes = 0;
  cluster.stateLink.fault = (_node, call) => {
    changes += writtenKeys(call).filter((key) => key.includes('/progress/')).length;
    return undefined;
  };
  cluster.run(seconds * 1000);
  assert.ok(changes > seconds / 2, `${changes} changes: progress is written`);
  // An eighth of all writes, and one transaction that was due when the count began.
  const maxChanges = (seconds * writesPerSecond) / 8 + 4;
  assert.ok(
    changes <= maxChanges,
    `${changes} changes of progress in ${seconds} s, ${maxChanges} allowed`,
  );
  cluster.stateLink.fault = null;
  for (const n of jobs) assert.ok(runUntilDone(cluster, jobId(n), 300_000), jobId(n));
  assertNoViolations(cluster);
});

/** A cluster with a low write rate and 90 jobs of one task that end at about the same time. */
function clusterWithManyEndingJobs(): { cluster: SimulatedCluster; ids: string[] } {
  const cluster = readyCluster(
    {
      capacity: 12,
      cpuLimit: 10_000,
      runTimeOf: (p) => 70_000 - Number(p.slice(4, 10)) * 500,
      limits: { sockets: 4000, requestsPerSecond: 200, writesPerSecond: 15 },
      announcedLimits: { maxValueBytes: 4096, maxTransactionWrites: 4 },
    },
    12,
  );
  const ids = Array.from({ length: 90 }, (_, i) => jobId(i + 1));
  for (const n of ids.keys()) {
    cluster.submit(job(n + 1, { batch: 1, cpus: 0.1, mem_gb: 0.1 }), cluster.nodeNames[n % 3]!);
    cluster.run(450);
  }
  return { cluster, ids };
}

const allTasksDone = (cluster: SimulatedCluster, ids: string[]) => () =>
  ids.every((id) => cluster.checker.doneTasks(id).size === 1);

const allEndsCommitted = (cluster: SimulatedCluster, ids: string[]) => () =>
  ids.every((id) => cluster.state.keys.has(`tealdock/ended/${id}`));

test('the leader commits job ends with the write rate that other nodes leave unused', () => {
  const { cluster, ids } = clusterWithManyEndingJobs();
  assert.ok(cluster.runUntil(allTasksDone(cluster, ids), 90_000));
  const from = cluster.now();
  assert.ok(cluster.runUntil(allEndsCommitted(cluster, ids), 60_000));
  // 90 ends are 180 writes: 24 s at half of 15 a second, and 15 s at four fifths of it.
  assert.ok(cluster.now() - from < 17_000, `${cluster.now() - from} ms`);
  assertNoViolations(cluster);
});

test('a leader with many job ends to commit leaves enough writes for submissions at other nodes', () => {
  const { cluster, ids } = clusterWithManyEndingJobs();
  assert.ok(
    cluster.runUntil(() => ids.some((id) => cluster.checker.doneTasks(id).size > 0), 90_000),
  );
  const followers = cluster.nodeNames.filter((n) => n !== cluster.leader());
  let refused = 0;
  for (let i = 0; i < 120; i++) {
    const overrides = { batch: 1, cpus: 0.1, mem_gb: 0.1, expected_s: 500 };
    cluster.at(i * 180, () =>
      cluster.submit(job(1000 + i, overrides), followers[i % 2]!, (r) => {
        if (r?.status !== 201) refused++;
      }),
    );
  }
  cluster.run(40_000);
  assert.ok(allEndsCommitted(cluster, ids)());
  assert.equal(refused, 0, 'five submissions a second are all accepted at the first attempt');
  assertNoViolations(cluster);
});

// Only the preconditions of its transaction keep a late cancellation from replacing the job's end.
test('a cancellation whose transaction executes after the end of the job changes nothing', () => {
  for (const delay of [1500, 4000, 9000]) {
    const cluster = readyCluster({ runTime: 3000 });
    cluster.submit(job(1, { batch: 1 }), 'n-0');
    const exited = () => cluster.checker.doneTasks(JOB1).size === 1;
    const [b, c] = followers(cluster);
    cluster.stateLink.fault = (node, call) =>
      node === b && writtenKeys(call).some((key) => key.includes('/ended/')) ? delay : undefined;
    cluster.runUntil(() => runningTaskCount(cluster) === 1, 20_000);
    cluster.run(2000);
    cluster.cancel(JOB1, b!);
    assert.ok(cluster.runUntil(exited, 20_000));
    assert.ok(runUntilDone(cluster, JOB1), 'the job ended as done');
    const ended = cluster.state.keys.get(`tealdock/ended/${JOB1}`);
    cluster.run(delay + 2000);
    cluster.stateLink.fault = null;
    assert.deepEqual(cluster.state.keys.get(`tealdock/ended/${JOB1}`), ended);
    for (const n of [b!, c!, cluster.leader()!]) {
      assert.equal(statusOf(replyTo(cluster, (d) => cluster.poll(JOB1, n, d))), 'done');
    }
    assertNoViolations(cluster);
  }
});

/**
 * A zone partition in which a follower renews the leases of workers, but can't read whether their
 * jobs are live. `peer` is the follower on the leader's side.
 */
function delegationWithoutProofs(): { cluster: SimulatedCluster; follower: string; peer: string } {
  const cluster = readyCluster({ capacity: 4, runTime: 120_000 }, 4);
  cluster.submit(job(1, { batch: 10, expected_s: 120 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 10, 20_000));
  const [follower, peer] = followers(cluster) as [string, string];
  const machines = [...cluster.workers.values()].filter((w) => w.machine.zone === 'b');
  cluster.network.partition([follower, ...machines.map((w) => w.machine.id)]);
  cluster.run(15_000);
  const aboutJobs = ({ path, body }: Call): boolean =>
    path.startsWith('/keys/tealdock/live/') || JSON.stringify(body ?? '').includes('/live/');
  cluster.stateLink.fault = (node, call) =>
    node === follower && aboutJobs(call) ? 'lost_before' : undefined;
  return { cluster, follower, peer };
}

test('a follower with a grant renews no lease of a cancelled task when its liveness proof fails', () => {
  const { cluster, peer } = delegationWithoutProofs();
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(JOB1, peer, d))), 'aborted');
  cluster.run(cluster.times.cancellationLimit + 10_000);
  assert.equal(runningTaskCount(cluster), 0);
  assertNoViolations(cluster);
});

test('a follower with a grant stops no task of a live job when its liveness proof fails', () => {
  const { cluster } = delegationWithoutProofs();
  cluster.run(cluster.times.lease / 2);
  cluster.stateLink.fault = null;
  cluster.run(15_000);
  assert.equal(runningTaskCount(cluster), 10, 'all tasks continue');
  assert.equal(cluster.checker.startCount, 10);
  cluster.network.cuts.clear();
  assert.ok(runUntilDone(cluster, JOB1, 200_000));
  assertNoViolations(cluster);
});

test('an unreadable stored value is logged with its key and never treated as missing', () => {
  const cluster = readyCluster({ runTime: 3000 });
  const garbage = { v: 'garbage', stamp: cluster.state.epoch, lease: null };
  const keys = [`tealdock/ended/${JOB1}`, 'tealdock/keeper/n-9', 'tealdock/roster/777'];
  for (const key of keys) cluster.state.keys.set(key, { ...garbage });
  for (const node of cluster.nodeNames) {
    const pollReply = replyTo(cluster, (d) => cluster.poll(JOB1, node, d));
    assert.equal(pollReply?.status, 503, 'the job is reported neither as known nor as unknown');
    const submitReply = replyTo(cluster, (d) => cluster.submit(job(1), node, d));
    assert.equal(submitReply?.status, 503);
  }
  for (const node of cluster.nodeNames) cluster.crash(node);
  cluster.run(1000);
  for (const node of cluster.nodeNames) cluster.boot(node);
  cluster.run(cluster.times.lease + 20_000);
  const unreadable = cluster.logLines.filter((l) => l.message === 'stored value unreadable');
  for (const key of keys)
    assert.ok(
      unreadable.some((l) => l.fields['key'] === key),
      key,
    );
  cluster.submit(job(2), 'n-0');
  assert.ok(runUntilDone(cluster, jobId(2)), 'other jobs are not affected');
  assertNoViolations(cluster);
});

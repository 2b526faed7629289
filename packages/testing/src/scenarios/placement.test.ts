import assert from 'node:assert/strict';
import { test } from 'node:test';
import { job, SimulatedCluster } from '../index.js';
import {
  JOB1,
  replyTo,
  runUntilDone,
  assertNoViolations,
  runningTaskCount,
  readyCluster,
} from './steps.js';

/** Number of tasks that a shard of the progress table marks as done. */
function doneTaskCount(value: unknown): number {
  const bits = Object.values((value as { entries: Record<string, string> }).entries).join('');
  return [...Buffer.from(bits, 'base64')].reduce((n, byte) => n + popCount(byte), 0);
}

const popCount = (byte: number): number => byte.toString(2).replaceAll('0', '').length;

test('machines are rented for waiting tasks and returned when idle', () => {
  const cluster = new SimulatedCluster({ capacity: 4 });
  cluster.run(5000);
  cluster.submit(job(1, { batch: 8, expected_s: 20 }), 'n-0');
  assert.ok(runUntilDone(cluster, JOB1));
  assert.ok(cluster.cloud.rentedIds.length >= 2);
  assert.ok(cluster.runUntil(() => cluster.cloud.machines.size === 0, 150_000));
  assertNoViolations(cluster);
});

// A whole machine costs more than one slot's share of it, so none was ever rented for one task.
test('a machine is rented for a single small task without an objective', () => {
  const cluster = new SimulatedCluster({ capacity: 4 });
  cluster.run(5000);
  cluster.submit(job(1, { batch: 1 }), 'n-0');
  assert.ok(runUntilDone(cluster, JOB1, 150_000));
  assertNoViolations(cluster);
});

test('owned machines are never returned', () => {
  const cluster = readyCluster({}, 2);
  cluster.run(200_000);
  assert.equal(cluster.cloud.machines.size, 2);
});

test('tasks run again after the cloud reclaims several machines, some without notice', () => {
  const cluster = readyCluster({ capacity: 6 }, 4);
  cluster.submit(job(1, { batch: 16, expected_s: 30 }), 'n-0');
  cluster.run(12_000);
  const ids = [...cluster.workers.keys()].slice(0, 3);
  cluster.workers.get(ids[0]!)!.reclaimWarningSeconds = 6;
  cluster.at(6000, () => cluster.cloud.removeMachine(ids[0]!));
  for (const id of ids.slice(1)) cluster.cloud.removeMachine(id);
  assert.ok(runUntilDone(cluster, JOB1, 300_000));
  assertNoViolations(cluster);
});

test('a faulty machine is quarantined and its tasks run elsewhere', () => {
  const cluster = readyCluster(
    { fails: (_piece, machine) => machine === 'm-000001', runTime: 2000 },
    2,
  );
  for (let i = 1; i <= 4; i++) cluster.submit(job(i), 'n-0');
  for (let i = 1; i <= 4; i++) assert.ok(runUntilDone(cluster, `run-00000${i}`, 200_000));
  assertNoViolations(cluster);
});

// Guards against endless preemption: borrowed work of higher priority preempted work inside a
// guarantee, whose team then reclaimed the capacity, and so on. One run that covered a day made no
// progress because of it and preempted tasks thousands of times.
test('work inside a guarantee and borrowed work of higher priority do not preempt each other in turn', () => {
  const cluster = readyCluster({ capacity: 2, guarantee: 4 }, 2);
  const low = { owner: 'other', urgency: 'idle', batch: 4, expected_s: 40 };
  cluster.submit(job(1, low), 'n-0');
  cluster.submit(job(2, { batch: 8, expected_s: 40 }), 'n-0');
  cluster.run(60_000);
  const stops = cluster.logLines.filter((l) => l.message === 'task preempted').length;
  assert.ok(stops <= 4, `${stops} stops`);
  assert.ok(runUntilDone(cluster, JOB1));
  assert.ok(runUntilDone(cluster, 'run-000002'));
  assertNoViolations(cluster);
});

// Another form of it: small tasks of the borrowing team took the capacity that was reclaimed for
// larger ones.
test('a team reclaims its guarantee from a team that borrows', () => {
  const cluster = readyCluster({ capacity: 2, guarantee: 4 }, 2);
  cluster.submit(job(1, { batch: 30, expected_s: 300 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 8, 20_000));
  cluster.submit(
    job(2, { owner: 'other', urgency: 'idle', batch: 2, cpus: 2, expected_s: 10 }),
    'n-0',
  );
  assert.ok(runUntilDone(cluster, 'run-000002', 120_000));
  assertNoViolations(cluster);
});

// A third form: each large task preempted two small ones of a team that was one task above its
// guarantee. That team was then below its guarantee and reclaimed the capacity just freed.
test('preemption does not push a team below its guarantee', () => {
  const cluster = readyCluster({ capacity: 2, guarantee: 3 }, 2);
  cluster.submit(job(1, { batch: 40, expected_s: 200 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 8, 20_000));
  cluster.submit(
    job(2, { owner: 'other', urgency: 'idle', batch: 6, cpus: 2, expected_s: 300 }),
    'n-0',
  );
  cluster.run(200_000);
  const stops = cluster.logLines.filter((l) => l.message === 'task preempted').length;
  assert.ok(stops > 0 && stops <= 8, `${stops} stops`);
  assertNoViolations(cluster);
});

test('a gang waits until all its tasks fit at once, and a service runs until cancelled', () => {
  const cluster = readyCluster({ capacity: 2 }, 2);
  cluster.submit(job(1, { batch: 2, cpus: 3, shape: 'service', expected_s: 1e6 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 2, 20_000));
  cluster.submit(job(2, { batch: 3, cpus: 1, shape: 'group' }), 'n-0');
  cluster.run(15_000);
  assert.equal(runningTaskCount(cluster), 2, 'two of three would fit, so none is started');
  cluster.cancel(JOB1, 'n-1');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 3, 20_000));
  assert.ok(runUntilDone(cluster, 'run-000002'));
  assertNoViolations(cluster);
});

test('a job that fails on every machine is retried with backoff and starves no other job', () => {
  const cluster = readyCluster({ fails: (piece) => piece.startsWith(JOB1), runTime: 1000 }, 2);
  cluster.submit(job(1), 'n-0');
  cluster.run(60_000);
  const attemptCount = cluster.logLines.filter((l) => l.message === 'task failed').length;
  assert.ok(attemptCount < 40, `${attemptCount} tries`);
  cluster.submit(job(2), 'n-1');
  assert.ok(runUntilDone(cluster, 'run-000002'));
});

test('a job of higher priority preempts one of lower priority, which runs again afterwards', () => {
  const cluster = readyCluster({ capacity: 1 }, 1);
  cluster.submit(job(1, { batch: 4, urgency: 'idle', expected_s: 60 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 20_000));
  cluster.submit(job(2, { batch: 1, urgency: 'urgent', expected_s: 5 }), 'n-0');
  assert.ok(runUntilDone(cluster, 'run-000002', 30_000));
  assert.ok(runUntilDone(cluster, JOB1, 300_000));
  assertNoViolations(cluster);
});

test('the stored progress of a large job is kept through a change of leader', () => {
  const cluster = readyCluster({ runTime: 200, capacity: 2 }, 2);
  cluster.submit(job(1, { batch: 9000, cpus: 0.01, mem_gb: 0.01 }), 'n-0');
  const storedTaskCount = () =>
    [...cluster.state.keys].reduce(
      (n, [k, e]) => n + (k.includes('/progress/') ? doneTaskCount(e.v) : 0),
      0,
    );
  assert.ok(cluster.runUntil(() => storedTaskCount() > 100, 60_000));
  const before = storedTaskCount();
  cluster.crash(cluster.leader()!);
  cluster.run(30_000);
  const reply = replyTo(cluster, (d) =>
    cluster.poll(JOB1, [...cluster.processes.running.keys()][0]!, d),
  );
  assert.ok((reply!.body as { done: number }).done >= before);
  assertNoViolations(cluster);
});

test('all keys of a large live job are removed from the state service after its end', () => {
  const cluster = readyCluster({ runTime: 200, capacity: 2, maxTransactionWrites: 2 }, 2);
  cluster.submit(job(1, { batch: 8200, cpus: 0.005, mem_gb: 0.005 }), 'n-0');
  assert.ok(runUntilDone(cluster, JOB1, 300_000));
  const remainingKeys = () => [...cluster.state.keys.keys()].filter((k) => k.includes('/live/'));
  assert.ok(
    cluster.runUntil(() => remainingKeys().length === 0, 10_000),
    remainingKeys().join(),
  );
  assertNoViolations(cluster);
});

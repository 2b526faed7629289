import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FakeWorker } from '../fakes/fake-worker.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';
import { job } from '../simulation/small-job.js';
import { readyDeployment, testOnEachDeployment } from './deployments.js';
import {
  assertNoViolations,
  assertRecovery,
  cancelAndConfirm,
  crashLeader,
  followers,
  jobId,
  readyCluster,
  runUntilDone,
  runningTaskCount,
  submitAccepted,
  workers,
} from './steps.js';

/** All tasks fit on one machine by CPUs and memory, but not into its heartbeats. */
const MANY_SMALL_TASKS = { batch: 1600, cpus: 0.001, mem_gb: 0.001 };
const ONE_MACHINE = 1;
const MIN_TASKS_ON_A_MACHINE = 600;
/** Fit into a heartbeat while they run, but their stops do not fit into its answer. */
const TASKS_OF_AN_OVERFILLED_MACHINE = 930;
const OLDER_ATTEMPT = 1_000_000;

/** One machine, with as many small tasks of job 1 as its heartbeats can name. */
function filledMachine(): SimulatedCluster {
  const cluster = readyCluster({ capacity: ONE_MACHINE, runTime: 60_000 }, ONE_MACHINE);
  submitAccepted(cluster, 1, MANY_SMALL_TASKS);
  cluster.run(8000);
  assert.ok(runningTaskCount(cluster) >= MIN_TASKS_ON_A_MACHINE, 'the machine is in use');
  return cluster;
}

function assertNothingOversized(cluster: SimulatedCluster): void {
  assert.equal(cluster.fleet.oversizedCount, 0);
  assert.deepEqual(
    workers(cluster).map(({ agentEpoch }) => agentEpoch),
    workers(cluster).map(() => 1),
    'no lease has expired',
  );
}

// Guards against a machine whose heartbeats are refused for their size, so that its lease expires
// with all its tasks, again and again.
testOnEachDeployment(
  'a burst of small tasks on one machine ends, and each heartbeat fits into a request',
  (times) => {
    const options = { capacity: ONE_MACHINE, runTime: 5000 };
    const cluster = readyDeployment(times, options, ONE_MACHINE);
    cluster.submit(job(2, { expected_s: 20 }), 'n-1');
    cluster.submit(job(1, MANY_SMALL_TASKS), 'n-0');
    assertRecovery(cluster, [1, 2]);
    assertNothingOversized(cluster);
  },
);

// Guards against a gang that is taken to fit on one machine.
test('a gang that one machine can not report is placed on two, one of which is rented', () => {
  const cluster = readyCluster({ capacity: 2, runTime: 20_000 }, ONE_MACHINE);
  submitAccepted(cluster, 1, { ...MANY_SMALL_TASKS, batch: 900, shape: 'group' });
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 900, 40_000));
  assert.equal(cluster.cloud.rentedIds.length, 1);
  assertRecovery(cluster, [1]);
  assertNothingOversized(cluster);
});

// Guards against entries that grow when many tasks are stopped at once.
test('the stops of a whole machine, and the heartbeat that shows them, fit into a message', () => {
  const cluster = filledMachine();
  cancelAndConfirm(cluster, 1, followers(cluster)[0]!);
  cluster.run(5000);
  assert.equal(runningTaskCount(cluster), 0);
  assertNothingOversized(cluster);
  assertNoViolations(cluster);
});

// Guards against leaders that each fill a machine without counting what the other has placed there.
test('leaders that follow one another do not place more on a machine than it can report', () => {
  const cluster = filledMachine();
  for (let i = 0; i < 3; i++) {
    crashLeader(cluster, 500);
    cluster.run(15_000);
  }
  assertNothingOversized(cluster);
  assertRecovery(cluster, [1]);
  assertNothingOversized(cluster);
});

// Guards against tasks that are done, and stay in the heartbeats since that can't be stored.
test('tasks that are done during an outage, and are not forgotten, leave less room for others', () => {
  const cluster = readyCluster({ capacity: ONE_MACHINE, runTime: 2000 }, ONE_MACHINE);
  cluster.stateLink.fault = (_node, call) => (call.path === '/commit' ? 20_000 : undefined);
  cluster.submit(job(1, MANY_SMALL_TASKS), 'n-0');
  cluster.run(60_000);
  assertNothingOversized(cluster);
  assertRecovery(cluster, [1]);
  assertNothingOversized(cluster);
});

// Guards against exited tasks, kept in case their starts arrive again, that hold up all others.
test('thousands of tasks that take a second each pass through one machine', () => {
  const cluster = readyCluster({ capacity: ONE_MACHINE, runTime: 1000 }, ONE_MACHINE);
  submitAccepted(cluster, 1, { ...MANY_SMALL_TASKS, batch: 4000 });
  assert.ok(runUntilDone(cluster, jobId(1), 90_000));
  assertNothingOversized(cluster);
  assertNoViolations(cluster);
});

/** Adds running tasks that an earlier leader has started, until the worker has this many. */
function addTasksOfEarlierLeader(
  cluster: SimulatedCluster,
  worker: FakeWorker,
  count: number,
): void {
  const known = new Set(worker.tasks.map(({ piece }) => piece));
  for (let index = 0; worker.tasks.length < count; index++) {
    const piece = `${jobId(1)}/${index}`;
    if (known.has(piece)) continue;
    const endsAt = cluster.now() + 60_000;
    worker.tasks.push({ piece, try_no: OLDER_ATTEMPT, status: 'running', endsAt });
  }
}

// Guards against a machine that an older version of the program has filled beyond its heartbeats.
test('a machine with more tasks than it can report gets no more, and its cancelled tasks stop', () => {
  const cluster = filledMachine();
  addTasksOfEarlierLeader(cluster, workers(cluster)[0]!, TASKS_OF_AN_OVERFILLED_MACHINE);
  crashLeader(cluster, 500);
  cluster.run(20_000);
  assert.equal(runningTaskCount(cluster), TASKS_OF_AN_OVERFILLED_MACHINE);
  cancelAndConfirm(cluster, 1, followers(cluster)[0]!);
  cluster.run(5000);
  assert.equal(runningTaskCount(cluster), 0);
  assert.ok(cluster.fleet.directCommandCount > 0);
  assertNothingOversized(cluster);
});

test('a machine whose heartbeats are refused loses its lease once, and all of its tasks are done', () => {
  const cluster = filledMachine();
  addTasksOfEarlierLeader(cluster, workers(cluster)[0]!, 1400);
  cluster.run(cluster.times.lease);
  assert.ok(cluster.fleet.oversizedCount > 0);
  assertRecovery(cluster, [1]);
  assert.equal(workers(cluster)[0]!.agentEpoch, 2);
});

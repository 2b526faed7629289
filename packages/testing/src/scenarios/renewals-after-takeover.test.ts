import assert from 'node:assert/strict';
import { busyDeployment, testOnEachDeployment } from './deployments.js';
import {
  JOB1,
  cancelAndConfirm,
  crashLeader,
  assertRecovery,
  followers,
  workers,
} from './steps.js';
import type { FakeWorker } from '../fakes/fake-worker.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';

/** A worker that has a task of the first job. */
function workerOfFirstJob(cluster: SimulatedCluster): FakeWorker {
  const machine = workers(cluster).find((w) => w.tasks.some((t) => t.piece.startsWith(JOB1)));
  assert.ok(machine);
  return machine;
}

/**
 * Replaces the leader while the worker is cut off. The worker is connected again just long enough
 * to receive one answer of the new leader before its lease expires.
 */
function receiveOneAnswerOfNextLeader(cluster: SimulatedCluster, worker: FakeWorker): void {
  const { id } = worker.machine;
  const agentEpoch = worker.agentEpoch;
  const token = worker.fencingToken;
  crashLeader(cluster);
  cluster.run(cluster.times.lease - 9000);
  cluster.network.cuts.delete(id);
  assert.ok(cluster.runUntil(() => worker.fencingToken > token, 9000));
  cluster.network.cuts.add(id);
  assert.equal(worker.agentEpoch, agentEpoch, 'the answer came within its lease');
}

// An answer that raises a worker's fencing token also renews its lease. If it contained no stops
// because the heartbeat carried an older token, each change of leader would let the tasks of a
// cancelled job run for another lease.
testOnEachDeployment(
  'an answer that renews a lease stops ended jobs even if the heartbeat has an older token',
  (times) => {
    const cluster = busyDeployment(times, 2, 4);
    const worker = workerOfFirstJob(cluster);
    cluster.network.cuts.add(worker.machine.id);
    cancelAndConfirm(cluster, 1, followers(cluster)[0]!);
    const rounds = Math.ceil(times.cancellationLimit / times.lease);
    for (let i = 0; i < rounds; i++) receiveOneAnswerOfNextLeader(cluster, worker);
    cluster.run(times.lease + 2000);
    assertRecovery(cluster, [1, 2]);
  },
);

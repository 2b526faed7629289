import assert from 'node:assert/strict';
import { busy, onEachDeployment } from './deployments.js';
import { A, cancelled, crashLeader, endsWell, others, workers } from './steps.js';
import type { FakeWorker } from '../fakes/fake-worker.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';

/** A machine with a task of the first job. */
function machineOfFirstJob(cluster: SimulatedCluster): FakeWorker {
  const machine = workers(cluster).find((w) => w.tasks.some((t) => t.piece.startsWith(A)));
  assert.ok(machine);
  return machine;
}

/**
 * A new leader takes over while the machine is cut off. The machine is back just long enough
 * to hear one answer of that leader, before its lease is over.
 */
function hearsOneAnswerOfNextLeader(cluster: SimulatedCluster, worker: FakeWorker): void {
  const { id } = worker.machine;
  const session = worker.agentEpoch;
  const token = worker.fencingToken;
  crashLeader(cluster);
  cluster.run(cluster.times.lease - 9000);
  cluster.network.cuts.delete(id);
  assert.ok(cluster.runUntil(() => worker.fencingToken > token, 9000));
  cluster.network.cuts.add(id);
  assert.equal(worker.agentEpoch, session, 'the answer came within its lease');
}

// Guarded against: an answer that raises a worker's token also renews its lease. When it stops
// nothing, since the heartbeat was made under an older token, each change of leaders keeps the
// tasks of a cancelled job for another lease.
onEachDeployment('a leader that renews a lease stops what is over, whatever the token', (times) => {
  const cluster = busy(times, 2, 4);
  const worker = machineOfFirstJob(cluster);
  cluster.network.cuts.add(worker.machine.id);
  cancelled(cluster, 1, others(cluster)[0]!);
  const rounds = Math.ceil(times.cancellationLimit / times.lease);
  for (let i = 0; i < rounds; i++) hearsOneAnswerOfNextLeader(cluster, worker);
  cluster.run(times.lease + 2000);
  endsWell(cluster, [1, 2]);
});

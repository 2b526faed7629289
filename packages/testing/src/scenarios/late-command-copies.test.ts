import assert from 'node:assert/strict';
import type { DeploymentTimes } from '../simulation/cluster-options.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';
import { job } from '../simulation/small-job.js';
import { readyDeployment, testOnEachDeployment } from './deployments.js';
import { JOB1, assertRecovery, cancelAndConfirm, crashLeader, jobId, workers } from './steps.js';

const QUICK_RESTART_MS = 300;

/** Delays of the copies of all that reaches a machine, from at once to a little over a lease. */
const copyDelays = ({ lease }: DeploymentTimes): number[] => [600, 2500, 6000, lease * 0.7, lease];

/**
 * A cluster whose machines execute a copy of each answer and direct command again, after this delay;
 * copies are made until the faults end.
 */
function clusterWithLateCopies(times: DeploymentTimes, delay: number): SimulatedCluster {
  const cluster = readyDeployment(times, {
    runTimeOf: (piece) => (piece.startsWith(jobId(4)) ? 30_000 : 3000),
    fails: (piece, machine) => piece.startsWith(jobId(3)) && machine.endsWith('1'),
  });
  cluster.fleet.lateCopyDelay = () => delay;
  return cluster;
}

function assertCopiesDidNoHarm(cluster: SimulatedCluster, jobs: number[]): void {
  assert.ok(cluster.fleet.lateCopyCount > 0);
  assertRecovery(cluster, jobs);
}

// Guards against an attempt that a late copy of its start runs again after the task was moved.
testOnEachDeployment(
  'late copies of starts run no task twice when tasks fail or are preempted and start elsewhere',
  (times) => {
    for (const delay of copyDelays(times)) {
      const cluster = clusterWithLateCopies(times, delay);
      cluster.submit(job(4, { batch: 16, urgency: 'idle' }), 'n-0');
      cluster.run(3000);
      cluster.submit(job(3, { batch: 8, urgency: 'prod' }), 'n-1');
      cluster.submit(job(2, { batch: 8, urgency: 'prod' }), 'n-2');
      cluster.run(delay + 20_000);
      assertCopiesDidNoHarm(cluster, [2, 3, 4]);
    }
  },
);

// Guards against a cancelled task that a late copy of its start runs again.
testOnEachDeployment('late copies of starts run no cancelled task again', (times) => {
  for (const delay of copyDelays(times)) {
    const cluster = clusterWithLateCopies(times, delay);
    cluster.submit(job(4, { batch: 8 }), 'n-0');
    cluster.submit(job(1, { batch: 8 }), 'n-0');
    cluster.run(1500);
    cancelAndConfirm(cluster, 4, 'n-1');
    const { startsAfterCancellationCount } = cluster.checker;
    cluster.cancel(JOB1, 'n-2');
    cluster.run(delay + 20_000);
    assert.equal(cluster.checker.startsAfterCancellationCount, startsAfterCancellationCount);
    assertCopiesDidNoHarm(cluster, [1, 4]);
  }
});

// Guards against copies that are taken for new after a controller or a machine was back at once.
testOnEachDeployment(
  'late copies of commands do no harm after controllers and machines that restart within a second',
  (times) => {
    for (const delay of copyDelays(times)) {
      const cluster = clusterWithLateCopies(times, delay);
      for (const n of [2, 3, 4]) cluster.submit(job(n, { batch: 6 }), 'n-0');
      cluster.run(2000);
      cancelAndConfirm(cluster, 4, 'n-1');
      for (let i = 0; i < 3; i++) {
        crashLeader(cluster, QUICK_RESTART_MS);
        workers(cluster)[i]!.reboot();
        cluster.submit(job(5 + i, { batch: 6 }), 'n-2');
        cluster.run(delay / 2);
      }
      cluster.run(delay + 10_000);
      assertCopiesDidNoHarm(cluster, [2, 3, 4]);
    }
  },
);

import assert from 'node:assert/strict';
import { MACHINE_TYPE } from '../fakes/fake-cloud.js';
import type { DeploymentTimes } from '../simulation/cluster-options.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';
import { job } from '../simulation/small-job.js';
import { readyDeployment, testOnEachDeployment } from './deployments.js';
import { assertRecovery, runningTaskCount } from './steps.js';

const JOBS = [1, 2, 3, 4, 5, 6, 7, 8];
const LATE_JOB = 9;
const LIMITS = { maxValueBytes: 16 * 1024, maxTransactionWrites: 12 };
/** Makes the stored form of a job about 12 KB long; six such ends exceed a transaction. */
const LONG_TYPE_LIST = [
  MACHINE_TYPE.label,
  ...Array.from({ length: 190 }, (_, i) => `type-${i}`.padEnd(60, 'x')),
];

/** Jobs on one machine, whose tasks all end while the state service is down, so that their ends come together. */
function jobsThatEndTogether(
  times: DeploymentTimes,
  overrides: Record<string, unknown>,
): SimulatedCluster {
  const cluster = readyDeployment(times, { ...LIMITS, runTime: 15_000 }, 1);
  for (const n of JOBS) cluster.submit(job(n, { batch: 1, cpus: 0.5, ...overrides }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === JOBS.length, 14_000));
  cluster.state.down = true;
  cluster.run(16_000);
  return cluster;
}

// Guards against a transaction that exceeds the size limit and is sent again without end, so that no
// job is called done any more.
testOnEachDeployment('ends of jobs with long descriptions are committed in parts', (times) => {
  const cluster = jobsThatEndTogether(times, { flavours: LONG_TYPE_LIST });
  cluster.state.restore();
  cluster.submit(job(LATE_JOB), 'n-1');
  assertRecovery(cluster, [...JOBS, LATE_JOB]);
});

// Guards against ends that are refused each time because the limits differ from the settings.
testOnEachDeployment(
  'ends of jobs go on if fewer changes are taken than the settings say',
  (times) => {
    const cluster = jobsThatEndTogether(times, {});
    cluster.state.limits = { ...LIMITS, maxTransactionWrites: 2 };
    cluster.state.restore();
    assertRecovery(cluster, JOBS);
  },
);

import assert from 'node:assert/strict';
import { MACHINE_TYPE } from '../fakes/fake-cloud.js';
import type { DeploymentTimes } from '../simulation/cluster-options.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';
import { job } from '../simulation/small-job.js';
import { readyDeployment, testOnEachDeployment } from './deployments.js';
import { replyTo } from './steps.js';

const LAST_TYPE = 'type-9';
/** More types than one transaction of the state service may write. */
const FURTHER_TYPES = Array.from({ length: 10 }, (_, i) => ({
  ...MACHINE_TYPE,
  label: `type-${i}`,
}));
const CATALOG_REFRESH_MS = 40_000;

/** All controllers have restarted while the cloud is down, so they know the stored types only. */
function restartedWithoutCloud(
  times: DeploymentTimes,
  beforeRestart: (cluster: SimulatedCluster) => void = () => undefined,
): SimulatedCluster {
  const cluster = readyDeployment(times, { maxTransactionWrites: 4 });
  cluster.cloud.furtherTypes = FURTHER_TYPES;
  cluster.run(CATALOG_REFRESH_MS);
  cluster.cloud.down = true;
  beforeRestart(cluster);
  for (const node of cluster.nodeNames) cluster.crash(node);
  for (const node of cluster.nodeNames) cluster.boot(node);
  cluster.run(10_000);
  return cluster;
}

const statusOfSubmission = (cluster: SimulatedCluster, n: number, type: string): unknown =>
  replyTo(cluster, (done) => cluster.submit(job(n, { flavours: [type] }), 'n-1', done))?.status;

// Guards against a valid job that is refused for good by a controller that knows part of the catalog.
testOnEachDeployment(
  'a job of the last of many machine types is accepted without the cloud',
  (times) => {
    const cluster = restartedWithoutCloud(times);
    assert.equal(statusOfSubmission(cluster, 1, LAST_TYPE), 201);
    assert.equal(statusOfSubmission(cluster, 2, 'unknown'), 422);
  },
);

testOnEachDeployment(
  'a controller that may not know all machine types refuses none for good',
  (times) => {
    const cluster = restartedWithoutCloud(times, ({ state }) => {
      for (const key of state.keys.keys()) if (key.endsWith(LAST_TYPE)) state.keys.delete(key);
    });
    assert.equal(statusOfSubmission(cluster, 1, LAST_TYPE), 503);
    assert.equal(statusOfSubmission(cluster, 2, 'type-0'), 201);
  },
);

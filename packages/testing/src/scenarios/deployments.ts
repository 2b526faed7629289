/** Tests that are run with the times of each deployment. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runningTaskCount, readyCluster } from './steps.js';
import type { ClusterOptions, DeploymentTimes } from '../simulation/cluster-options.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';
import { job } from '../simulation/small-job.js';

/** Times of the deployments that tealdock was built for, in ms. */
const DEPLOYMENTS: Record<string, DeploymentTimes> = {
  Kelisa: { heartbeatInterval: 5000, lease: 27_000, cancellationLimit: 47_000, leaderLease: 5000 },
  Noordzee: {
    heartbeatInterval: 4000,
    lease: 26_000,
    cancellationLimit: 56_000,
    leaderLease: 5000,
  },
};

/** Defines one test for each deployment, whose name is appended to the title. */
export function testOnEachDeployment(title: string, run: (times: DeploymentTimes) => void): void {
  for (const [site, times] of Object.entries(DEPLOYMENTS)) {
    test(`${title} (${site})`, () => run(times));
  }
}

/** A cluster with a deployment's times, an elected leader and this many machines. */
export function readyDeployment(
  times: DeploymentTimes,
  options: ClusterOptions = {},
  machineCount = 4,
): SimulatedCluster {
  return readyCluster({ times, capacity: machineCount, ...options }, machineCount);
}

/** A cluster on which all tasks of `jobCount` jobs run, each for 150 s unless overridden. */
export function busyDeployment(
  times: DeploymentTimes,
  jobCount: number,
  tasksPerJob: number,
  overrides: Record<string, unknown> = {},
  options: ClusterOptions = {},
): SimulatedCluster {
  const cluster = readyDeployment(times, options);
  for (let n = 1; n <= jobCount; n++) {
    cluster.submit(
      job(n, { batch: tasksPerJob, expected_s: 150, ...overrides }),
      cluster.nodeNames[n % 3]!,
    );
  }
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === jobCount * tasksPerJob, 40_000));
  return cluster;
}

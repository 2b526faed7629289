/** Tests that run with the times of each deployment. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { running, settled } from './steps.js';
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

/** One test for each deployment's times. */
export function onEachDeployment(name: string, play: (times: DeploymentTimes) => void): void {
  for (const [site, times] of Object.entries(DEPLOYMENTS)) {
    test(`${name} (${site})`, () => play(times));
  }
}

/** A cluster on a deployment's times, with machines up and a leader that knows them. */
export function start(
  times: DeploymentTimes,
  options: ClusterOptions = {},
  machines = 4,
): SimulatedCluster {
  return settled({ times, capacity: machines, ...options }, machines);
}

/** A cluster with `jobs` jobs of `tasks` long tasks each, all of which run. */
export function busy(
  times: DeploymentTimes,
  jobs: number,
  tasks: number,
  over: Record<string, unknown> = {},
  options: ClusterOptions = {},
): SimulatedCluster {
  const cluster = start(times, options);
  for (let n = 1; n <= jobs; n++) {
    cluster.submit(job(n, { batch: tasks, expected_s: 150, ...over }), cluster.nodeNames[n % 3]!);
  }
  assert.ok(cluster.runUntil(() => running(cluster) === jobs * tasks, 40_000));
  return cluster;
}

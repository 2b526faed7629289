/** Tests that run with the times of each deployment. */
import { test } from 'node:test';
import { settled } from './scenario.js';
import type { ClusterOptions, DeploymentTimes, SimulatedCluster } from './simulated-cluster.js';

/** Times of the deployments that tealdock was built for, in ms. */
const DEPLOYMENTS: Record<string, DeploymentTimes> = {
  Kelisa: { reportEvery: 5000, lease: 27_000, cancelWithin: 47_000, leaderLease: 5000 },
  Noordzee: { reportEvery: 4000, lease: 26_000, cancelWithin: 56_000, leaderLease: 5000 },
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

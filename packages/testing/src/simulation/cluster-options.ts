/** What a simulated cluster is made of: nodes, settings and times. */
import type { Settings } from '@tealdock/wire';
import type { WireObserver } from '../wire-trace/wire-trace.js';
import type { StateCaps } from '../fakes/fake-state.js';

/** Names of the controllers. */
export const NODES = ['n-0', 'n-1', 'n-2'];

/** What a simulated cluster is made of. */
export interface ClusterOptions {
  seed?: number;
  capacity?: number;
  cpuLimit?: number;
  /** Guarantee of each of two teams, `team` and `other`. */
  guarantee?: number;
  /** Changes that one transaction may hold. */
  maxTransactionWrites?: number;
  runTime?: number;
  /** Run times of single tasks, in place of `runTime`. */
  runTimeOf?: (piece: string) => number | undefined;
  /** A task that fails wherever it runs, or on one machine. */
  fails?: (piece: string, machine: string) => boolean;
  /** GB a second of a machine's image fetches, and whether those at the same time share it. */
  fetches?: { gbPerS: number; shared: boolean };
  /** Sockets of a process, and what the state service serves a second; enforced if named. */
  limits?: { sockets: number; requestsPerSecond: number; writesPerSecond: number };
  maxValueBytes?: number;
  /** What the limits of the state service will be lowered to. */
  next?: StateCaps;
  /** What the controllers take for the workers' lease; a wrong one breaks a guard on purpose. */
  believedLease?: number;
  times?: DeploymentTimes;
  /** Sees everything that crosses the boundary of the nodes. */
  observer?: WireObserver;
}

/** Times of a deployment, in ms. */
export interface DeploymentTimes {
  heartbeatInterval: number;
  lease: number;
  cancellationLimit: number;
  leaderLease: number;
}

/** Times where a test names none. */
export const USUAL_TIMES: DeploymentTimes = {
  heartbeatInterval: 3000,
  lease: 20_000,
  cancellationLimit: 45_000,
  leaderLease: 10_000,
};

/** A node's settings, as a platform would hand them over. */
export function settingsFor(
  member: string,
  cpuLimit: number,
  guarantee = 0,
  times = USUAL_TIMES,
): Settings {
  const peers = NODES.filter((n) => n !== member).map((n) => ({ member: n, address: `${n}:1` }));
  return {
    member,
    zone: 'a',
    publicAddress: `${member}:1`,
    peerListenAddress: `${member}:2`,
    peers,
    cloudAddress: 'cloud:1',
    stateAddress: 'state:1',
    zones: ['a', 'b'],
    maxClockError: 0,
    teams: ['team', 'other'].map((name) => ({
      name,
      cpus: guarantee,
      maxCpus: cpuLimit,
      gpus: 0,
      maxGpus: Infinity,
    })),
    objectives: [],
    heartbeatInterval: times.heartbeatInterval,
    workerLeaseDuration: times.lease,
    cancellationLimit: times.cancellationLimit,
    state: {
      requestsPerSecond: 100,
      writesPerSecond: 100,
      maxValueBytes: 4096,
      maxTransactionWrites: 8,
    },
    cloud: { requestsPerSecond: 6, listLag: 1000 },
    maxConnections: 4000,
  };
}

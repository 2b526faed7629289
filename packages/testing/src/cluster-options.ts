/** What a simulated cluster is made of: nodes, settings and times. */
import type { Settings } from '@tealdock/wire';
import type { WireObserver } from './wire-trace/wire-trace.js';
import type { StateCaps } from './fake-state.js';

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
  txnOps?: number;
  runTime?: number;
  /** Run times of single tasks, in place of `runTime`. */
  runTimeOf?: (piece: string) => number | undefined;
  /** A task that fails wherever it runs, or on one machine. */
  fails?: (piece: string, machine: string) => boolean;
  /** GB a second of a machine's image fetches, and whether those at the same time share it. */
  fetches?: { gbPerS: number; shared: boolean };
  /** Sockets of a process, and what the state service serves a second; enforced if named. */
  limits?: { sockets: number; rps: number; writeRps: number };
  valueBytes?: number;
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
  reportEvery: number;
  lease: number;
  cancelWithin: number;
  leaderLease: number;
}

/** Times where a test names none. */
export const USUAL_TIMES: DeploymentTimes = {
  reportEvery: 3000,
  lease: 20_000,
  cancelWithin: 45_000,
  leaderLease: 10_000,
};

/** A node's settings, as a platform would hand them over. */
export function settingsFor(
  member: string,
  cpuLimit: number,
  guarantee = 0,
  times = USUAL_TIMES,
): Settings {
  const peers = NODES.filter((n) => n !== member).map((n) => ({ member: n, addr: `${n}:1` }));
  return {
    member,
    zone: 'a',
    publicAddr: `${member}:1`,
    clusterListen: `${member}:2`,
    peers,
    cloudAddr: 'cloud:1',
    stateAddr: 'state:1',
    zones: ['a', 'b'],
    clockError: 0,
    teams: ['team', 'other'].map((name) => ({
      name,
      cpus: guarantee,
      cpusMax: cpuLimit,
      gpus: 0,
      gpusMax: Infinity,
    })),
    objectives: [],
    reportEvery: times.reportEvery,
    workerLease: times.lease,
    cancelWithin: times.cancelWithin,
    state: { rps: 100, writeRps: 100, valueBytes: 4096, txnOps: 8 },
    cloud: { rps: 6, listLag: 1000 },
    maxConnections: 4000,
  };
}

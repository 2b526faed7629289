/** What a simulated cluster is made of: nodes, settings and times. */
import type { Duration, Settings } from '@tealdock/wire';
import type { WireObserver } from '../wire-trace/wire-trace.js';
import type { StateLimits } from '../fakes/fake-state.js';

const DEFAULT_MAX_VALUE_BYTES = 4096;
const DEFAULT_TRANSACTION_WRITE_LIMIT = 8;
/** CPUs that a team may use where a test names no limit. */
export const DEFAULT_CPU_LIMIT = 100;

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
  announcedLimits?: StateLimits;
  /** What the controllers take for the workers' lease; a wrong one breaks a guard on purpose. */
  believedLease?: number;
  times?: DeploymentTimes;
  /** Sees everything that crosses the boundary of the nodes. */
  observer?: WireObserver;
}

/** Times of a deployment. */
export interface DeploymentTimes {
  heartbeatInterval: Duration;
  /** A worker's lease. */
  lease: Duration;
  cancellationLimit: Duration;
  leaderLease: Duration;
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
      maxValueBytes: DEFAULT_MAX_VALUE_BYTES,
      maxTransactionWrites: DEFAULT_TRANSACTION_WRITE_LIMIT,
    },
    cloud: { requestsPerSecond: 6, listLag: 1000 },
    maxConnections: 4000,
  };
}

/** The limits of the state service that hold, or the lower of these and announced ones. */
export function stateLimits(options: ClusterOptions, announced?: StateLimits): StateLimits {
  const {
    maxValueBytes = DEFAULT_MAX_VALUE_BYTES,
    maxTransactionWrites = DEFAULT_TRANSACTION_WRITE_LIMIT,
  } = options;
  return {
    maxValueBytes: Math.min(maxValueBytes, announced?.maxValueBytes ?? Infinity),
    maxTransactionWrites: Math.min(
      maxTransactionWrites,
      announced?.maxTransactionWrites ?? Infinity,
    ),
  };
}

/** Settings of a node of a cluster with these options, under these limits of the state service. */
export function clusterSettings(
  member: string,
  options: ClusterOptions,
  limits: StateLimits,
): Settings {
  const { cpuLimit = DEFAULT_CPU_LIMIT, guarantee, believedLease, times = USUAL_TIMES } = options;
  const settings = settingsFor(member, cpuLimit, guarantee, times);
  settings.workerLeaseDuration = believedLease ?? times.lease;
  settings.maxConnections = options.limits?.sockets ?? settings.maxConnections;
  settings.state = { ...settings.state, ...limits, ...options.limits };
  return settings;
}

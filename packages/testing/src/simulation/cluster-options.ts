/** Options of a simulated cluster, and the settings of its nodes. */
import type { Duration, Settings } from '@tealdock/wire';
import type { WireObserver } from '../wire-trace/wire-trace.js';
import type { StateLimits } from '../fakes/fake-state.js';

const DEFAULT_MAX_VALUE_BYTES = 4096;
const DEFAULT_TRANSACTION_WRITE_LIMIT = 8;
/** CPU limit of each team if a test sets none. */
export const DEFAULT_CPU_LIMIT = 100;

/** Names of the controllers. */
export const NODES = ['n-0', 'n-1', 'n-2'];

/** Options of a simulated cluster; each has a default. */
export interface ClusterOptions {
  seed?: number;
  /** The cloud rents no more machines once this many exist. */
  capacity?: number;
  /** CPU limit of each of the two teams, `team` and `other`. */
  cpuLimit?: number;
  /** CPUs guaranteed to each of the two teams. */
  guarantee?: number;
  /** Largest number of writes in one transaction of the state service. */
  maxTransactionWrites?: number;
  /** Run time of every task in ms; the estimate of its job by default. */
  runTime?: number;
  /** Run time of a task in ms, which overrides `runTime`; undefined does not override it. */
  runTimeOf?: (piece: string) => number | undefined;
  /** Whether a task fails on a machine. */
  fails?: (piece: string, machine: string) => boolean;
  /**
   * Rate of a machine's image fetches, and whether concurrent fetches share it; without this option
   * tasks start without fetching their images.
   */
  fetches?: { gbPerS: number; shared: boolean };
  /** Sockets per process, and rate limits of the state service; enforced only if set. */
  limits?: { sockets: number; requestsPerSecond: number; writesPerSecond: number };
  /** Size of the largest value that the state service accepts. */
  maxValueBytes?: number;
  /** Lower limits of the state service to come; the nodes' settings respect them beforehand. */
  announcedLimits?: StateLimits;
  /**
   * Worker lease in the controllers' settings, if it differs from the workers' own. A shorter one
   * breaks a safety guard on purpose.
   */
  configuredWorkerLease?: number;
  times?: DeploymentTimes;
  /** Notified of everything that crosses the boundary of the nodes. */
  observer?: WireObserver;
}

/** Intervals and leases of a deployment. */
export interface DeploymentTimes {
  heartbeatInterval: Duration;
  /** A worker's lease. */
  lease: Duration;
  /** How long a task may still run after the cancellation of its job was confirmed. */
  cancellationLimit: Duration;
  leaderLease: Duration;
}

/** Times if a test sets none. */
export const DEFAULT_TIMES: DeploymentTimes = {
  heartbeatInterval: 3000,
  lease: 20_000,
  cancellationLimit: 45_000,
  leaderLease: 10_000,
};

/** A node's platform settings with default limits of the state service. */
export function settingsFor(
  member: string,
  cpuLimit: number,
  guarantee = 0,
  times = DEFAULT_TIMES,
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

/** Size limits of the state service; with announced limits, the lower of both. */
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

/** Platform settings of a node of a cluster with these options and state service limits. */
export function clusterSettings(
  member: string,
  options: ClusterOptions,
  limits: StateLimits,
): Settings {
  const {
    cpuLimit = DEFAULT_CPU_LIMIT,
    guarantee,
    configuredWorkerLease,
    times = DEFAULT_TIMES,
  } = options;
  const settings = settingsFor(member, cpuLimit, guarantee, times);
  settings.workerLeaseDuration = configuredWorkerLease ?? times.lease;
  settings.maxConnections = options.limits?.sockets ?? settings.maxConnections;
  settings.state = { ...settings.state, ...limits, ...options.limits };
  return settings;
}

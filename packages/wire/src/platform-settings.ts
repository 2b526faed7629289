/** The platform's settings of a node (TOML). This file maps the names in the TOML file. */
import { parse as parseToml } from 'smol-toml';
import { z } from 'zod';
import { millisecondsOf } from './body.js';
import type { Duration } from './domain.js';
import { SettingsError } from './errors.js';
import { validateSettings } from './validation.js';

const BYTES_PER_KB = 1024;

const address = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'expected IP:port');
const amount = z.number().nonnegative();
const positive = z.number().positive();

const teamSchema = z.object({
  name: z.string(),
  cpus: amount.default(0),
  cpus_max: amount.default(0),
  gpus: amount.default(0),
  gpus_max: amount.default(0),
});
const objectiveSchema = z.object({
  kind: z.string(),
  class: z.string().optional(),
  within_s: amount.optional(),
  share: amount.optional(),
});

const platformSchema = z.object({
  member: z.string().min(1),
  zone: z.string().min(1),
  public_addr: address,
  cluster_listen: address,
  members: z.array(z.object({ member: z.string(), zone: z.string(), addr: address })).default([]),
  external: z.object({ cloud: address, state: address }),
  settings: z.object({
    zones: z.array(z.string()).default([]),
    clock_error_ms: amount.default(250),
    teams: z.array(teamSchema).default([]),
    objectives: z.array(objectiveSchema).default([]),
    workers: z.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: z.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: z.number().int().min(2),
      next: z
        .object({
          rps: positive,
          write_rps: positive,
          value_kb: positive,
          txn_ops: z.number().int().min(2),
        })
        .partial()
        .nullish(),
    }),
    cloud: z.object({ rps: positive, list_lag_s: amount }),
    machine_limits: z
      .object({ cpu_share: positive, mem_mb: positive, max_connections: positive })
      .default({ cpu_share: 1, mem_mb: 512, max_connections: 1000 }),
  }),
});

/** A team with its guaranteed resources and its limits. */
export interface Team {
  name: string;
  /** Guaranteed; 0 for none. */
  cpus: number;
  /** Infinity without a limit. */
  maxCpus: number;
  /** Guaranteed; 0 for none. */
  gpus: number;
  /** Infinity without a limit. */
  maxGpus: number;
}
/** A service-level objective for a class of jobs, or for jobs within their team's guarantee. */
export interface Objective {
  /** `wait`, `finished`, `guarantee` or `deadline`; unknown kinds are ignored. */
  kind: string;
  /** Null if the objective does not apply to one class. */
  jobClass: string | null;
  /** Time limit, counted from when the job can start; null if the objective has none. */
  within: Duration | null;
}
/** The platform's settings, as one node gets them. */
export interface Settings {
  /** Name of this controller. */
  member: string;
  zone: string;
  /** The address that users, workers and health checks connect to. */
  publicAddress: string;
  /** The address that the other controllers connect to. */
  peerListenAddress: string;
  /** The other controllers. */
  peers: { member: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  zones: string[];
  /** Maximum error of the wall clock of any host. */
  maxClockError: Duration;
  teams: Team[];
  objectives: Objective[];
  /** Time between two heartbeats of the same worker. */
  heartbeatInterval: Duration;
  /** How long a worker keeps its tasks running without an answer to a heartbeat. */
  workerLeaseDuration: Duration;
  /** Time after a job's cancellation by which none of its tasks may run any more. */
  cancellationLimit: Duration;
  state: {
    requestsPerSecond: number;
    writesPerSecond: number;
    maxValueBytes: number;
    maxTransactionWrites: number;
  };
  cloud: {
    requestsPerSecond: number;
    /** How far the cloud's machine list may lag behind. */
    listLag: Duration;
  };
  /** Sockets that the process may have open. */
  maxConnections: number;
}

/** In the settings file, 0 stands for no limit. */
const infinityIfZero = (value: number): number => (value === 0 ? Infinity : value);

/** Parses the platform's TOML file and ignores unknown fields; throws `SettingsError`. */
export function parseSettings(text: string): Settings {
  const { settings, ...node } = validateSettings(platformSchema, readToml(text));
  return {
    member: node.member,
    zone: node.zone,
    publicAddress: node.public_addr,
    peerListenAddress: node.cluster_listen,
    peers: node.members
      .filter(({ member }) => member !== node.member)
      .map(({ member, addr }) => ({ member, address: addr })),
    cloudAddress: node.external.cloud,
    stateAddress: node.external.state,
    zones: settings.zones,
    maxClockError: settings.clock_error_ms,
    teams: settings.teams.map((team) => ({
      name: team.name,
      cpus: team.cpus,
      maxCpus: infinityIfZero(team.cpus_max),
      gpus: team.gpus,
      maxGpus: infinityIfZero(team.gpus_max),
    })),
    objectives: settings.objectives.map((objective) => ({
      kind: objective.kind,
      jobClass: objective.class ?? null,
      within: objective.within_s === undefined ? null : millisecondsOf(objective.within_s),
    })),
    heartbeatInterval: millisecondsOf(settings.workers.report_s),
    workerLeaseDuration: millisecondsOf(settings.workers.lease_s),
    cancellationLimit: millisecondsOf(settings.workers.cancel_s),
    state: stateLimits(settings.state),
    cloud: {
      requestsPerSecond: settings.cloud.rps,
      listLag: millisecondsOf(settings.cloud.list_lag_s),
    },
    maxConnections: settings.machine_limits.max_connections,
  };
}

/**
 * The platform may lower its limits to those in `next` at any time without notice, so the lower of
 * the two values is used from the start.
 */
function stateLimits({ next, ...now }: z.infer<typeof platformSchema>['settings']['state']) {
  const lower = (key: keyof typeof now) => Math.min(now[key], next?.[key] ?? Infinity);
  return {
    requestsPerSecond: lower('rps'),
    writesPerSecond: lower('write_rps'),
    maxValueBytes: lower('value_kb') * BYTES_PER_KB,
    maxTransactionWrites: lower('txn_ops'),
  };
}

function readToml(text: string): unknown {
  try {
    return parseToml(text);
  } catch (error) {
    throw new SettingsError(`not TOML: ${String(error).split('\n')[0]}`, { cause: error });
  }
}

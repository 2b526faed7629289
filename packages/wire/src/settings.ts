/** The platform's settings and the operators'. */
import { parse as parseIni } from 'ini';
import { parse as parseToml } from 'smol-toml';
import { z } from 'zod';
import { WireError, millis } from './body.js';
import { issueText } from './jobs.js';

const address = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'expected IP:port');
const amount = z.number().nonnegative();
const positive = z.number().positive();

const team = z.object({
  name: z.string(),
  cpus: amount.default(0),
  cpus_max: amount.default(0),
  gpus: amount.default(0),
  gpus_max: amount.default(0),
});
const objective = z.object({
  kind: z.string(),
  class: z.string().optional(),
  within_s: amount.optional(),
  share: amount.optional(),
});

const platform = z.object({
  member: z.string().min(1),
  zone: z.string().min(1),
  public_addr: address,
  cluster_listen: address,
  members: z.array(z.object({ member: z.string(), zone: z.string(), addr: address })).default([]),
  external: z.object({ cloud: address, state: address }),
  settings: z.object({
    zones: z.array(z.string()).default([]),
    clock_error_ms: amount.default(250),
    teams: z.array(team).default([]),
    objectives: z.array(objective).default([]),
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

/** A team with its guarantee and its limit. */
export interface Team {
  name: string;
  cpus: number;
  maxCpus: number;
  gpus: number;
  maxGpus: number;
}
/** An aim for a class of jobs. */
export interface Objective {
  kind: string;
  jobClass: string | null;
  within: number | null;
}
/** The platform's settings of one node. */
export interface Settings {
  member: string;
  zone: string;
  publicAddress: string;
  peerListenAddress: string;
  peers: { member: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  zones: string[];
  maxClockError: number;
  teams: Team[];
  objectives: Objective[];
  heartbeatInterval: number;
  workerLeaseDuration: number;
  cancellationLimit: number;
  state: {
    requestsPerSecond: number;
    writesPerSecond: number;
    maxValueBytes: number;
    maxTransactionWrites: number;
  };
  cloud: { requestsPerSecond: number; listLag: number };
  maxConnections: number;
}

/** 0 means none, so no limit. */
const infinityIfZero = (value: number): number => (value === 0 ? Infinity : value);

/** The file that the platform hands over (TOML). Unknown fields are ignored. */
export function parseSettings(text: string): Settings {
  const parsed = platform.safeParse(readToml(text));
  if (!parsed.success) throw new WireError(issueText(parsed.error));
  const { settings: s, ...p } = parsed.data;
  return {
    member: p.member,
    zone: p.zone,
    publicAddress: p.public_addr,
    peerListenAddress: p.cluster_listen,
    peers: p.members
      .filter((m) => m.member !== p.member)
      .map(({ member, addr }) => ({ member, address: addr })),
    cloudAddress: p.external.cloud,
    stateAddress: p.external.state,
    zones: s.zones,
    maxClockError: s.clock_error_ms,
    teams: s.teams.map((t) => ({
      name: t.name,
      cpus: t.cpus,
      maxCpus: infinityIfZero(t.cpus_max),
      gpus: t.gpus,
      maxGpus: infinityIfZero(t.gpus_max),
    })),
    objectives: s.objectives.map((o) => ({
      kind: o.kind,
      jobClass: o.class ?? null,
      within: o.within_s === undefined ? null : millis(o.within_s),
    })),
    heartbeatInterval: millis(s.workers.report_s),
    workerLeaseDuration: millis(s.workers.lease_s),
    cancellationLimit: millis(s.workers.cancel_s),
    state: stateLimits(s.state),
    cloud: { requestsPerSecond: s.cloud.rps, listLag: millis(s.cloud.list_lag_s) },
    maxConnections: s.machine_limits.max_connections,
  };
}

/** Limits may be lowered without notice to what `next` says: the lower of both hold always. */
function stateLimits({ next, ...now }: z.infer<typeof platform>['settings']['state']) {
  const lower = (key: keyof typeof now) => Math.min(now[key], next?.[key] ?? Infinity);
  return {
    requestsPerSecond: lower('rps'),
    writesPerSecond: lower('write_rps'),
    maxValueBytes: lower('value_kb') * 1024,
    maxTransactionWrites: lower('txn_ops'),
  };
}

function readToml(text: string): unknown {
  try {
    return parseToml(text);
  } catch (error) {
    throw new WireError(`not TOML: ${String(error).split('\n')[0]}`);
  }
}

const number = (fallback: number, min: number, max: number) =>
  z.coerce.number().min(min).max(max).default(fallback);

/** The operators' own settings (INI); see README for what each one does. */
const operator = z.object({
  window: z
    .object({
      lambda_s: number(5, 0.05, 60),
      close_early_s: number(0.15, 0, 60),
      hold_answer_s: number(2, 0, 3),
    })
    .prefault({}),
  leadership: z
    .object({ lease_s: number(5, 2, 120), resign_deaf_s: number(6, 2, 120) })
    .prefault({}),
  fleet: z
    .object({
      idle_return_s: number(6, 0, 86400),
      boot_patience: number(4, 1.5, 100),
      headroom: number(1, 0, 10),
      policy: z.enum(['auto', 'frugal', 'fast']).default('auto'),
    })
    .prefault({}),
});

/** The operators' own settings. */
export interface OperatorSettings {
  window: { lambda: number; closeEarly: number; longPollTimeout: number };
  leadership: { leaseDuration: number; resignUnreachable: number };
  fleet: {
    idleTimeout: number;
    bootTimeoutFactor: number;
    headroom: number;
    policy: 'auto' | 'frugal' | 'fast';
  };
}

/** Reads the operators' INI file; throws `WireError` naming the wrong setting. */
export function parseOperatorSettings(text: string): OperatorSettings {
  const parsed = operator.safeParse(parseIni(text));
  if (!parsed.success) throw new WireError(issueText(parsed.error));
  const { window: w, leadership: l, fleet: f } = parsed.data;
  return {
    window: {
      lambda: millis(w.lambda_s),
      closeEarly: millis(w.close_early_s),
      longPollTimeout: millis(w.hold_answer_s),
    },
    leadership: { leaseDuration: millis(l.lease_s), resignUnreachable: millis(l.resign_deaf_s) },
    fleet: {
      idleTimeout: millis(f.idle_return_s),
      bootTimeoutFactor: f.boot_patience,
      headroom: f.headroom,
      policy: f.policy,
    },
  };
}

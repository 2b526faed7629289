/** Workers' interface. */
import { z } from 'zod';
import { WireError, millis, seconds } from './body.js';
import { issueText } from './jobs.js';
import type { ExitReason, WorkerCommand, TaskState, WorkerHeartbeat } from './domain.js';

export const HEARTBEAT_PATH = '/hello';
export const COMMANDS_PATH = '/commands';

const TASK_STATES = {
  pulling: 'fetching',
  // A gang's task that waits for the others has its image, but does not run yet.
  waiting: 'fetching',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
} as const satisfies Record<string, TaskState>;
const EXIT_REASONS: Record<string, ExitReason> = {
  done: 'done',
  stopped: 'stopped',
  // A gang's task ended because of the others: neither it nor its machine failed.
  peers: 'stopped',
  incomplete: 'stopped',
  error: 'error',
  no_room: 'no_room',
  in_use: 'busy',
  no_such: 'unknown',
};

const count = z.number().int().nonnegative();
const heartbeatSchema = z.object({
  host: z.string().min(1).max(150),
  addr: z.string().min(1).max(200),
  flavour: z.string().min(1),
  hall: z.string().min(1),
  spare: z.boolean(),
  shift: count,
  tally: count,
  fence: count,
  warning_s: z.number().nullish(),
  batch: z.array(
    z.object({
      piece: z.string().min(1).max(200),
      try_no: count,
      status: z.enum(['pulling', 'waiting', 'running', 'saving', 'exited']),
      reason: z.string().nullish(),
      saved: z.boolean().nullish(),
    }),
  ),
});

/** A report in the terms of this project; throws `WireError`. */
export function parseHeartbeat(body: unknown): WorkerHeartbeat {
  const parsed = heartbeatSchema.safeParse(body);
  if (!parsed.success) throw new WireError(issueText(parsed.error));
  const r = parsed.data;
  return {
    machine: r.host,
    address: r.addr,
    type: r.flavour,
    zone: r.hall,
    spot: r.spare,
    agentEpoch: r.shift,
    sequenceNumber: r.tally,
    fencingToken: r.fence,
    preemptionNotice: r.warning_s == null ? null : millis(r.warning_s),
    tasks: r.batch.map((t) => ({
      task: t.piece,
      attempt: t.try_no,
      state: TASK_STATES[t.status],
      // A reason this version does not know is a failure like any other.
      reason: t.status === 'exited' ? (EXIT_REASONS[t.reason ?? ''] ?? 'error') : null,
      saved: t.saved ?? false,
    })),
  };
}

function renderCommand(command: WorkerCommand): Record<string, unknown> {
  const base = { piece: command.task, try_no: command.attempt };
  if (command.op === 'stop')
    return { verb: 'kill', ...base, wind_down_s: seconds(command.gracePeriod) };
  return { verb: command.op, ...base };
}

/** The answer to a report that renews the worker's lease. */
export function renderHeartbeatResponse(
  fencingToken: number,
  commands: WorkerCommand[],
): Record<string, unknown> {
  return { fence: fencingToken, orders: commands.map(renderCommand) };
}

/** Orders sent to a worker directly; they do not renew its lease. */
export function renderDirectCommands(
  fencingToken: number,
  agentEpoch: number,
  commands: WorkerCommand[],
): Record<string, unknown> {
  return { ...renderHeartbeatResponse(fencingToken, commands), shift: agentEpoch };
}

export const renderRedirect = (leader: string | null): Record<string, unknown> =>
  leader === null ? {} : { upstream: leader };

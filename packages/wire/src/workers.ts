/**
 * Workers' interface: heartbeats and commands. This file maps the interface's own names to those
 * in domain.ts, which all other code uses.
 */
import { z } from 'zod';
import { millisecondsOf, secondsOf } from './body.js';
import type { ExitReason, TaskState, WorkerCommand, WorkerHeartbeat } from './domain.js';
import { listOf, validateBody } from './validation.js';

/** The path to which workers post their heartbeats. */
export const HEARTBEAT_PATH = '/hello';
/** A worker's own path for commands that do not come in the answer to a heartbeat. */
export const COMMANDS_PATH = '/commands';

const TASK_STATES = {
  pulling: 'fetching',
  // A gang's task that waits for the others has fetched its image, but does not run yet.
  waiting: 'fetching',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
} as const satisfies Record<string, TaskState>;
const EXIT_REASONS: Record<string, ExitReason> = {
  done: 'done',
  stopped: 'stopped',
  // A gang's task was ended because another one ended: neither it nor its machine failed.
  peers: 'stopped',
  incomplete: 'stopped',
  error: 'error',
  no_room: 'no_room',
  in_use: 'busy',
  no_such: 'unknown',
};

/** Longest machine id in a heartbeat, in characters. */
export const MAX_MACHINE_ID_LENGTH = 150;
/** Longest address in a heartbeat, in characters. */
export const MAX_ADDRESS_LENGTH = 200;

/** The decoder refuses maps with this key, and machines are keys in the stored registry. */
const FORBIDDEN_KEY = '__proto__';

const count = z.number().int().nonnegative();
const machineId = z
  .string()
  .min(1)
  .max(MAX_MACHINE_ID_LENGTH)
  .refine((id) => id !== FORBIDDEN_KEY);
const heartbeatSchema = z.object({
  host: machineId,
  addr: z.string().min(1).max(MAX_ADDRESS_LENGTH),
  flavour: z.string().min(1),
  hall: z.string().min(1),
  spare: z.boolean(),
  shift: count,
  tally: count,
  fence: count,
  warning_s: z.number().nullish(),
  batch: listOf(
    z.object({
      piece: z.string().min(1).max(200),
      try_no: count,
      status: z.enum(['pulling', 'waiting', 'running', 'saving', 'exited']),
      reason: z.string().nullish(),
      saved: z.boolean().nullish(),
    }),
  ),
});

/** Parses a worker's heartbeat; throws `WireError` naming the first wrong field. */
export function parseHeartbeat(body: unknown): WorkerHeartbeat {
  const heartbeat = validateBody(heartbeatSchema, body);
  return {
    machine: heartbeat.host,
    address: heartbeat.addr,
    type: heartbeat.flavour,
    zone: heartbeat.hall,
    spot: heartbeat.spare,
    agentEpoch: heartbeat.shift,
    sequenceNumber: heartbeat.tally,
    fencingToken: heartbeat.fence,
    preemptionNotice: heartbeat.warning_s == null ? null : millisecondsOf(heartbeat.warning_s),
    tasks: heartbeat.batch.map((task) => ({
      task: task.piece,
      attempt: task.try_no,
      state: TASK_STATES[task.status],
      // A reason that this version does not know counts as an error.
      reason: task.status === 'exited' ? (EXIT_REASONS[task.reason ?? ''] ?? 'error') : null,
      saved: task.saved ?? false,
    })),
  };
}

/** A command as its worker receives it. */
export function renderCommand(command: WorkerCommand): Record<string, unknown> {
  const base = { piece: command.task, try_no: command.attempt };
  if (command.op === 'stop')
    return { verb: 'kill', ...base, wind_down_s: secondsOf(command.gracePeriod) };
  return { verb: command.op, ...base };
}

/** The body of an answer to a heartbeat; the answer renews the worker's lease. */
export function renderHeartbeatResponse(
  fencingToken: number,
  commands: WorkerCommand[],
): Record<string, unknown> {
  return { fence: fencingToken, orders: commands.map(renderCommand) };
}

/** The body of a request that sends a worker commands directly; it does not renew its lease. */
export function renderDirectCommands(
  fencingToken: number,
  agentEpoch: number,
  commands: WorkerCommand[],
): Record<string, unknown> {
  return { ...renderHeartbeatResponse(fencingToken, commands), shift: agentEpoch };
}

/** The body of a redirect to the leader, named by its member name; null if none is known. */
export const renderRedirect = (leader: string | null): Record<string, unknown> =>
  leader === null ? {} : { upstream: leader };

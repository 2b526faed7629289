/** Workers' interface. */
import { z } from 'zod';
import { WireError, millis, seconds } from './body.js';
import { issueText } from './jobs.js';
import type { ExitReason, Order, TaskState, WorkerReport } from './domain.js';

export const REPORT_PATH = '/hello';
export const COMMANDS_PATH = '/commands';

const STATES = {
  pulling: 'fetching',
  // A gang's task that waits for the others has its image, but does not run yet.
  waiting: 'fetching',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
} as const satisfies Record<string, TaskState>;
const REASONS: Record<string, ExitReason> = {
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
const report = z.object({
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
export function parseReport(body: unknown): WorkerReport {
  const parsed = report.safeParse(body);
  if (!parsed.success) throw new WireError(issueText(parsed.error));
  const r = parsed.data;
  return {
    machine: r.host,
    addr: r.addr,
    type: r.flavour,
    zone: r.hall,
    spot: r.spare,
    session: r.shift,
    seq: r.tally,
    token: r.fence,
    notice: r.warning_s == null ? null : millis(r.warning_s),
    tasks: r.batch.map((t) => ({
      task: t.piece,
      attempt: t.try_no,
      state: STATES[t.status],
      // A reason this version does not know is a failure like any other.
      reason: t.status === 'exited' ? (REASONS[t.reason ?? ''] ?? 'error') : null,
      saved: t.saved ?? false,
    })),
  };
}

function renderOrder(order: Order): Record<string, unknown> {
  const base = { piece: order.task, try_no: order.attempt };
  if (order.op === 'stop') return { verb: 'kill', ...base, wind_down_s: seconds(order.grace) };
  return { verb: order.op, ...base };
}

/** The answer to a report that renews the worker's lease. */
export function renderReportAnswer(token: number, orders: Order[]): Record<string, unknown> {
  return { fence: token, orders: orders.map(renderOrder) };
}

/** Orders sent to a worker directly; they do not renew its lease. */
export function renderCommands(
  token: number,
  session: number,
  orders: Order[],
): Record<string, unknown> {
  return { ...renderReportAnswer(token, orders), shift: session };
}

export const renderRedirect = (leader: string | null): Record<string, unknown> =>
  leader === null ? {} : { upstream: leader };

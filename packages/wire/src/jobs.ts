/** Users' interface. */
import { z } from 'zod';
import { WireError, millis } from './body.js';
import type { JobKind, JobSpec, JobView, Priority } from './domain.js';

export const JOBS_PATH = '/api/jobs';
export const HEALTH_PATH = '/healthz';
export const MAX_TASKS = 100_000;

const PRIORITIES = {
  prod: 'production',
  urgent: 'high',
  normal: 'normal',
  idle: 'low',
} as const satisfies Record<string, Priority>;

const KINDS = {
  array: 'array',
  group: 'gang',
  service: 'service',
} as const satisfies Record<string, JobKind>;

const name = z.string().min(1).max(200);
const amount = z.number().nonnegative();
const flag = z.boolean();

const submission = z.object({
  ref: z.string(),
  jobclass: name,
  owner: name,
  shape: z.enum(['array', 'group', 'service']),
  urgency: z.enum(['prod', 'urgent', 'normal', 'idle']),
  batch: z.number().int().min(1).max(MAX_TASKS),
  cpus: amount,
  accelerators: amount,
  mem_gb: amount,
  bundle: name,
  image_gb: amount,
  flavours: z.array(name).max(200).nullish(),
  hall: name.nullish(),
  same_place: flag,
  apart: flag,
  spare: flag,
  expected_s: amount,
  snapshot_s: amount,
  flush_s: amount,
  due_s: amount.nullish(),
  waits_on: z.array(z.string()).nullish(),
});

/** Job ids always have one form; anything else names no job. */
export const isJobId = (text: unknown): text is string =>
  typeof text === 'string' && /^run-\d{1,60}$/.test(text);

/** The id in a submission, even when the rest of it is malformed. */
export function submissionId(body: unknown): string | null {
  const ref = (body as { ref?: unknown } | null)?.ref;
  return isJobId(ref) ? ref : null;
}

/** The job that a submission describes; throws `WireError` naming the wrong field. */
export function parseSubmission(body: unknown): JobSpec {
  const parsed = submission.safeParse(body);
  if (!parsed.success) throw new WireError(issueText(parsed.error));
  const s = parsed.data;
  if (!isJobId(s.ref)) throw new WireError('ref: not a job id');
  return {
    id: s.ref,
    kind: KINDS[s.shape],
    jobClass: s.jobclass,
    team: s.owner,
    priority: PRIORITIES[s.urgency],
    taskCount: s.batch,
    cpus: s.cpus,
    gpus: s.accelerators,
    memoryGb: s.mem_gb,
    image: s.bundle,
    imageGb: s.image_gb,
    types: s.flavours ?? null,
    zone: s.hall ?? null,
    oneZone: s.same_place,
    spread: s.apart,
    spot: s.spare,
    estimate: millis(s.expected_s),
    checkpoint: millis(s.snapshot_s),
    save: millis(s.flush_s),
    deadline: s.due_s == null ? null : millis(s.due_s),
    ...(s.waits_on?.length ? { predecessors: [...new Set(s.waits_on)] } : {}),
  };
}

/** How a job stands, as users read it. */
export function renderJobView(view: JobView): Record<string, unknown> {
  return {
    ref: view.id,
    status: view.state === 'cancelled' ? 'aborted' : view.state,
    ...(view.done === undefined ? {} : { done: view.done, running: view.running ?? 0 }),
  };
}

/** The first thing that is wrong with a value, with its path. */
export function issueText(error: z.ZodError): string {
  const issue = error.issues[0];
  const path = issue?.path.map(String).join('.') ?? '';
  return `${path || 'value'}: ${issue?.message ?? 'invalid'}`;
}

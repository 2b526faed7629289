/**
 * Users' interface: submissions and the state of jobs. This file maps the interface's own names
 * to those in domain.ts, which all other code uses.
 */
import { z } from 'zod';
import { millisecondsOf } from './body.js';
import type { JobKind, JobSpec, JobView, Priority } from './domain.js';
import { WireError } from './errors.js';
import { listOf, validateBody } from './validation.js';

/** Submissions (POST); the paths of single jobs begin with it. */
export const JOBS_PATH = '/api/jobs';
/** The platform's health checks (GET). */
export const HEALTH_PATH = '/healthz';
const MAX_TASK_COUNT = 100_000;
const MAX_TYPE_COUNT = 200;

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

const submissionSchema = z.object({
  ref: z.string(),
  jobclass: name,
  owner: name,
  shape: z.enum(['array', 'group', 'service']),
  urgency: z.enum(['prod', 'urgent', 'normal', 'idle']),
  batch: z.number().int().min(1).max(MAX_TASK_COUNT),
  cpus: amount,
  accelerators: amount,
  mem_gb: amount,
  bundle: name,
  image_gb: amount,
  flavours: listOf(name, MAX_TYPE_COUNT).nullish(),
  hall: name.nullish(),
  same_place: flag,
  apart: flag,
  spare: flag,
  expected_s: amount,
  snapshot_s: amount,
  flush_s: amount,
  due_s: amount.nullish(),
  waits_on: listOf(z.string()).nullish(),
});

/** Whether a value has the form of a job id: `run-` and 1 to 60 digits. */
export const isJobId = (text: unknown): text is string =>
  typeof text === 'string' && /^run-\d{1,60}$/.test(text);

/** The job id in a submission, even if the rest is malformed; null if there is no valid one. */
export function submissionId(body: unknown): string | null {
  const ref = (body as { ref?: unknown } | null)?.ref;
  return isJobId(ref) ? ref : null;
}

/** Parses a submission; throws `WireError` naming the first wrong field. */
export function parseSubmission(body: unknown): JobSpec {
  const submission = validateBody(submissionSchema, body);
  if (!isJobId(submission.ref)) throw new WireError('ref: not a job id');
  return {
    id: submission.ref,
    kind: KINDS[submission.shape],
    jobClass: submission.jobclass,
    team: submission.owner,
    priority: PRIORITIES[submission.urgency],
    taskCount: submission.batch,
    cpus: submission.cpus,
    gpus: submission.accelerators,
    memoryGb: submission.mem_gb,
    image: submission.bundle,
    imageGb: submission.image_gb,
    types: submission.flavours ?? null,
    zone: submission.hall ?? null,
    oneZone: submission.same_place,
    spread: submission.apart,
    spot: submission.spare,
    estimate: millisecondsOf(submission.expected_s),
    checkpoint: millisecondsOf(submission.snapshot_s),
    save: millisecondsOf(submission.flush_s),
    deadline: submission.due_s == null ? null : millisecondsOf(submission.due_s),
    ...(submission.waits_on?.length ? { predecessors: [...new Set(submission.waits_on)] } : {}),
  };
}

/** The body of a reply that shows a job to its user. */
export function renderJobView(view: JobView): Record<string, unknown> {
  return {
    ref: view.id,
    status: view.state === 'cancelled' ? 'aborted' : view.state,
    ...(view.done === undefined ? {} : { done: view.done, running: view.running ?? 0 }),
  };
}

/** Requests by which controllers announce cancelled jobs to each other. */
import { z } from 'zod';
import { isJobId } from './jobs.js';
import { listOf, validateBody } from './validation.js';

/** The path to which a controller posts the jobs whose cancellation it has committed. */
export const CANCELLATIONS_PATH = '/cancellations';

const MAX_JOB_COUNT = 1000;

const cancellationsSchema = z.object({
  jobs: listOf(z.string().refine(isJobId), MAX_JOB_COUNT),
});

/** Parses the ids of the jobs that a controller has cancelled; throws `WireError`. */
export function parseCancellations(body: unknown): string[] {
  return validateBody(cancellationsSchema, body).jobs;
}

/** The body that announces cancelled jobs. */
export const renderCancellations = (jobs: string[]): Record<string, unknown> => ({ jobs });

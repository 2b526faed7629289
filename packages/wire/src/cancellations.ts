/** What controllers tell each other of cancellations. */
import { z } from 'zod';
import { WireError } from './body.js';
import { isJobId, issueText } from './jobs.js';

/** Where a controller tells another one of jobs whose cancellation it has committed. */
export const CANCELLATIONS_PATH = '/cancellations';

const cancellations = z.object({ jobs: z.array(z.string().refine(isJobId)).max(1000) });

/** Ids of jobs that a controller has cancelled. */
export function parseCancellations(body: unknown): string[] {
  const parsed = cancellations.safeParse(body);
  if (!parsed.success) throw new WireError(issueText(parsed.error));
  return parsed.data.jobs;
}

export const renderCancellations = (jobs: string[]): Record<string, unknown> => ({ jobs });

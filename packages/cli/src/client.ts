/** Commands that talk to a running node. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { HttpClient, splitAddress } from '@tealdock/adapters';
import { JOBS_PATH } from '@tealdock/wire';

/** Ends the command with a message and an exit code. */
export type Fail = (message: string, code: number) => never;

const TIMEOUT = 5000;

interface Answer {
  status: number;
  body: unknown;
}

function send(node: string, method: string, path: string, body: unknown): Promise<Answer | null> {
  const client = new HttpClient(1);
  const call = { ...splitAddress(node), method, path, body, timeout: TIMEOUT };
  return new Promise((resolve) =>
    client.send(call, (r) =>
      resolve(r.kind === 'answer' ? { status: r.status, body: r.body } : null),
    ),
  );
}

/** Prints the job as the service shows it, or fails with what it said. */
function show(answer: Answer | null, node: string, fail: Fail): void {
  if (!answer) return fail(`no answer from ${node}; ask again`, 1);
  if (answer.status >= 300) {
    const error = (answer.body as { error?: string } | null)?.error ?? 'refused';
    return fail(`${answer.status}: ${error}`, 1);
  }
  const job = answer.body as Record<string, unknown>;
  const line = Object.entries(job).map(([key, value]) => `${key}=${String(value)}`);
  process.stdout.write(`${line.join(' ')}\n`);
  process.exit(0);
}

/** Submits the job that a TOML file describes. */
export async function submitJob(node: string, file: string, fail: Fail): Promise<void> {
  let job: unknown;
  try {
    job = parse(readFileSync(file, 'utf8'));
  } catch (error) {
    return fail(`${file}: ${firstLine((error as Error).message)}`, 2);
  }
  show(await send(node, 'POST', JOBS_PATH, job), node, fail);
}

/** Parsers add an excerpt below their message. */
const firstLine = (text: string): string => text.replace(/\n.*$/s, '');

/** Counters and histograms of one controller, as indented JSON. */
export async function nodeStats(node: string, fail: Fail): Promise<void> {
  const answer = await send(node, 'GET', '/metrics', null);
  if (answer?.status !== 200) return fail(`no answer from ${node}; ask again`, 1);
  process.stdout.write(`${JSON.stringify(answer.body, null, 2)}\n`);
  process.exit(0);
}

/** Shows how a job stands. */
export async function jobStatus(node: string, job: string, fail: Fail): Promise<void> {
  show(await send(node, 'GET', `${JOBS_PATH}/${encodeURIComponent(job)}`, null), node, fail);
}

/** Cancels a job. */
export async function cancelJob(node: string, job: string, fail: Fail): Promise<void> {
  const path = `${JOBS_PATH}/${encodeURIComponent(job)}/cancel`;
  show(await send(node, 'POST', path, null), node, fail);
}

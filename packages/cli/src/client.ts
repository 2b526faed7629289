/** Commands that call a running node. All throw `CommandError` if it refuses or does not answer. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { HttpClient, splitAddress } from '@tealdock/adapters';
import { JOBS_PATH } from '@tealdock/wire';
import { CommandError, EXIT_CODES } from './command-error.js';

const ANSWER_TIMEOUT_MS = 5000;
const METRICS_PATH = '/metrics';

interface Answer {
  status: number;
  body: unknown;
}

/** Submits the job described in a TOML file, and prints its state. */
export async function submitJob(node: string, file: string): Promise<void> {
  showJob(await send(node, 'POST', JOBS_PATH, readJob(file)));
}

/** Prints the state of a job. */
export async function jobStatus(node: string, job: string): Promise<void> {
  showJob(await send(node, 'GET', jobPath(job), null));
}

/** Cancels a job, and prints its state. */
export async function cancelJob(node: string, job: string): Promise<void> {
  showJob(await send(node, 'POST', `${jobPath(job)}/cancel`, null));
}

/** Prints the metrics of one controller as indented JSON. */
export async function nodeStats(node: string): Promise<void> {
  const answer = await send(node, 'GET', METRICS_PATH, null);
  if (answer.status !== 200) throw noAnswer(node);
  process.stdout.write(`${JSON.stringify(answer.body, null, 2)}\n`);
}

const jobPath = (job: string): string => `${JOBS_PATH}/${encodeURIComponent(job)}`;

function readJob(file: string): unknown {
  try {
    return parse(readFileSync(file, 'utf8'));
  } catch (error) {
    const message = `${file}: ${firstLine((error as Error).message)}`;
    throw new CommandError(message, EXIT_CODES.usage, { cause: error });
  }
}

/** Removes the excerpt of the file that the TOML parser adds below its message. */
const firstLine = (text: string): string => text.replace(/\n.*$/s, '');

async function send(node: string, method: string, path: string, body: unknown): Promise<Answer> {
  const client = new HttpClient(1);
  try {
    const call = { ...splitAddress(node), method, path, body, timeout: ANSWER_TIMEOUT_MS };
    const result = await client.request(call);
    if (result.kind !== 'answer') throw noAnswer(node);
    return { status: result.status, body: result.body };
  } finally {
    client.close();
  }
}

const noAnswer = (node: string): CommandError =>
  new CommandError(`no answer from ${node}; ask again`, EXIT_CODES.failure);

/** Prints the job in a response as `key=value` pairs; throws if the node has refused. */
function showJob({ status, body }: Answer): void {
  if (status >= 300) {
    const reason = (body as { error?: string } | null)?.error ?? 'refused';
    throw new CommandError(`${status}: ${reason}`, EXIT_CODES.failure);
  }
  const fields = Object.entries(body as Record<string, unknown>);
  process.stdout.write(`${fields.map(([key, value]) => `${key}=${String(value)}`).join(' ')}\n`);
}

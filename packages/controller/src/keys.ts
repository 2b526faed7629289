import type { JobSpec, JobState } from '@tealdock/wire';

/** Layout of the state service's keys; see docs/design.md. */
const ROOT = 'tealdock/';
export const LEADER_KEY = `${ROOT}leader`;
export const CATALOG_PREFIX = `${ROOT}type/`;
export const OWNED_KEY = `${ROOT}owned`;
export const typeKey = (type: string): string => `${CATALOG_PREFIX}${encodeURIComponent(type)}`;
export const LIVE_PREFIX = `${ROOT}live/`;
export const MACHINE_PREFIX = `${ROOT}machine/`;

export const liveFolder = (job: string): string => `${LIVE_PREFIX}${job}/`;
export const specKey = (job: string): string => `${LIVE_PREFIX}${job}/spec`;
export const chunkKey = (job: string, chunk: number): string =>
  `${LIVE_PREFIX}${job}/done/${String(chunk).padStart(3, '0')}`;
export const endedKey = (job: string): string => `${ROOT}ended/${job}`;
export const machineKey = (machine: string): string => `${MACHINE_PREFIX}${machine}`;

/** Tasks whose completion one key holds; its text stays far below 4 KiB. */
export const CHUNK_TASKS = 8192;

export interface LeaderValue {
  member: string;
  nonce: string;
}
export interface LiveValue {
  spec: JobSpec;
  /** Time of day of the submission, in ms. */
  submitted: number;
}
export interface ChunkValue {
  done: number;
  running: number;
  /** One bit a task, base64. */
  bits: string;
}
export interface EndedValue {
  state: Extract<JobState, 'done' | 'cancelled'>;
  spec: JobSpec;
}
export interface MachineValue {
  type: string;
  zone: string;
  spot: boolean;
  returning: boolean;
  /** Time of day at which it is known to have been there, in ms. */
  since: number;
}

/** Job id and rest of a key below the live prefix. */
export function splitLiveKey(key: string): { job: string; rest: string } | null {
  const path = key.slice(LIVE_PREFIX.length);
  const cut = path.indexOf('/');
  return cut < 0 ? null : { job: path.slice(0, cut), rest: path.slice(cut + 1) };
}

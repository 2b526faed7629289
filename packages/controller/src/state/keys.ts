/** Keys of the state service and what is stored under them. */
import type { JobSpec, JobState } from '@tealdock/wire';

/** Layout of the state service's keys; see docs/design.md. */
const ROOT = 'tealdock/';
export const LEADER_KEY = `${ROOT}leader`;
export const CATALOG_PREFIX = `${ROOT}type/`;
export const OWNED_KEY = `${ROOT}owned`;
export const typeKey = (type: string): string => `${CATALOG_PREFIX}${encodeURIComponent(type)}`;
export const LIVE_PREFIX = `${ROOT}live/`;
export const REGISTRY_PREFIX = `${ROOT}roster/`;
export const GRANT_PREFIX = `${ROOT}keeper/`;
export const PROGRESS_PREFIX = `${ROOT}progress/`;

export const specKey = (job: string): string => `${LIVE_PREFIX}${job}/spec`;
export const endedKey = (job: string): string => `${ROOT}ended/${job}`;

/** Tasks whose completion one entry of the progress table holds, as bits in base64. */
export const CHUNK_TASK_COUNT = 8192;
export const progressEntry = (job: string, chunk: number): string => `${job}/${chunk}`;

/** Job and chunk of an entry of the progress table. */
export function splitProgressEntry(entry: string): { job: string; chunk: number } {
  const cut = entry.lastIndexOf('/');
  return { job: entry.slice(0, cut), chunk: Number(entry.slice(cut + 1)) };
}

/** Who leads; the nonce tells the commits of one member apart. */
export interface LeaderValue {
  member: string;
  nonce: string;
}
/** That a node may keep workers' leases under the leader's token; see keeper.ts. */
export interface GrantValue {
  token: number;
  /** Time of day at which it was asked for, in ms. */
  at: number;
}
/** An accepted job that has not ended. */
export interface LiveValue {
  spec: JobSpec;
  /** Time of day of the submission, in ms. */
  submitted: number;
}
/** A job that has ended, for good. */
export interface EndedValue {
  state: Extract<JobState, 'done' | 'cancelled'>;
  spec: JobSpec;
  /** Time of day of the end, in ms; versions before job chains did not write it. */
  at?: number;
}

/** What of a value's limit is left for the map around a description. */
const VALUE_OVERHEAD = 64;

/** Sizes are counted in the form of JSON. */
export const fitsValue = (spec: JobSpec, maxValueBytes: number): boolean =>
  Buffer.byteLength(JSON.stringify(spec)) + VALUE_OVERHEAD <= maxValueBytes;

/**
 * An ended job as stored. A description that was accepted under a larger limit goes without
 * its lists, which nothing asks for any more once the job is over.
 */
export function endedValue(
  state: EndedValue['state'],
  spec: JobSpec,
  at: Date,
  maxValueBytes: number,
): EndedValue {
  const kept = fitsValue(spec, maxValueBytes) ? spec : { ...spec, types: null, predecessors: [] };
  return { state, spec: kept, at: at.getTime() };
}
/** A machine in the machine registry: type, zone, spot, returning, and since when it is known, in s. */
export type RegistryEntry = [
  type: string,
  zone: string,
  spot: 0 | 1,
  returning: 0 | 1,
  since: number,
];

/** Job id and rest of a key below the live prefix. */
export function splitLiveKey(key: string): { job: string; rest: string } | null {
  const path = key.slice(LIVE_PREFIX.length);
  const cut = path.indexOf('/');
  return cut < 0 ? null : { job: path.slice(0, cut), rest: path.slice(cut + 1) };
}

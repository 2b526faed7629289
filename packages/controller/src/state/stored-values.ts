/**
 * Values of the state service: their types, and readers that check them. The names of their
 * fields are what is stored, and other versions of this program read them.
 */
import type { JobSpec, JobState, MachineType } from '@tealdock/wire';

/** Who leads; the nonce distinguishes the commits of one member. */
export interface LeaderValue {
  member: string;
  nonce: string;
}

/** Allows a follower to renew workers' leases for the leader; see leadership/delegation-grants.ts. */
export interface GrantValue {
  /** Fencing token of the leader. */
  token: number;
  /** Time of day of the request, in ms. */
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

/** A machine in the machine registry; `since`: the time of day when it was first seen, in s. */
export type RegistryEntry = [
  type: string,
  zone: string,
  spot: 0 | 1,
  returning: 0 | 1,
  since: number,
];

/** Machines up to this id, in the order of strings, belong to the operator and are not rented. */
interface OwnedValue {
  last: string;
}

/** What of a value's limit is left for the map around a job's description. */
const VALUE_OVERHEAD_BYTES = 64;

/** Whether a job fits into one value; sizes are counted in the form of JSON. */
export const fitsValue = (spec: JobSpec, maxValueBytes: number): boolean =>
  Buffer.byteLength(JSON.stringify(spec)) + VALUE_OVERHEAD_BYTES <= maxValueBytes;

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
  const storedSpec = fitsValue(spec, maxValueBytes)
    ? spec
    : { ...spec, types: null, predecessors: [] };
  return { state, spec: storedSpec, at: at.getTime() };
}

/** An accepted job; null for any other value. */
export function readLive(stored: unknown): LiveValue | null {
  const value = fieldsOf(stored);
  const isValid = isSpec(value?.['spec']) && typeof value?.['submitted'] === 'number';
  return isValid ? (stored as LiveValue) : null;
}

/** A job that has ended; null for any other value. */
export function readEnded(stored: unknown): EndedValue | null {
  const value = fieldsOf(stored);
  const state = value?.['state'];
  const isValid = isSpec(value?.['spec']) && (state === 'done' || state === 'cancelled');
  return isValid ? (stored as EndedValue) : null;
}

/** Who leads; null for any other value. */
export function readLeader(stored: unknown): LeaderValue | null {
  const value = fieldsOf(stored);
  const isValid = typeof value?.['member'] === 'string' && typeof value['nonce'] === 'string';
  return isValid ? (stored as LeaderValue) : null;
}

/** A grant of delegated lease renewal; null for any other value. */
export function readGrant(stored: unknown): GrantValue | null {
  const value = fieldsOf(stored);
  const isValid = typeof value?.['token'] === 'number' && typeof value['at'] === 'number';
  return isValid ? (stored as GrantValue) : null;
}

/** The last machine that is the operator's own; null for any other value. */
export function readOwned(stored: unknown): OwnedValue | null {
  const last = fieldsOf(stored)?.['last'];
  return typeof last === 'string' ? { last } : null;
}

/** A machine type of the catalog; null for any other value. */
export function readMachineType(stored: unknown): MachineType | null {
  const value = fieldsOf(stored);
  const isValid =
    typeof value?.['name'] === 'string' &&
    typeof value['cpus'] === 'number' &&
    typeof value['memoryGb'] === 'number' &&
    Array.isArray(value['zones']);
  return isValid ? (stored as MachineType) : null;
}

/** The entries of a shard by their ids, unchecked; null for any other value. */
export function readShard(stored: unknown): Fields | null {
  return fieldsOf(fieldsOf(stored)?.['entries']);
}

type Fields = Record<string, unknown>;

function fieldsOf(stored: unknown): Fields | null {
  return typeof stored === 'object' && stored !== null ? (stored as Fields) : null;
}

function isSpec(value: unknown): boolean {
  const spec = fieldsOf(value);
  return typeof spec?.['id'] === 'string' && typeof spec['taskCount'] === 'number';
}

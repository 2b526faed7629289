/** The cloud's interface. */
import { z } from 'zod';
import { WireError, millis } from './body.js';
import { issueText } from './jobs.js';
import type { ListedMachine, MachineType } from './domain.js';

export const CATALOG_PATH = '/catalog';
export const MACHINES_PATH = '/machines';
export const RETURN_PATH = '/machines/return';
export const MAX_RENT = 50;
export const MAX_RETURN = 100;
export const MAX_LIST = 500;

/** A request for machines; its name makes it idempotent. */
export interface RentRequest {
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

const amount = z.number().nonnegative();
const catalog = z.object({
  flavours: z.array(
    z.object({
      label: z.string().min(1),
      cpus: amount,
      accelerators: amount,
      mem_gb: amount,
      cache_gb: amount,
      pull_gb_per_s: amount,
      price: amount,
      low_price: amount.nullish(),
      ready_s: amount,
      halls: z.array(z.string()),
    }),
  ),
});
const rented = z.object({ hosts: z.array(z.string()) });
const listing = z.object({
  hosts: z.array(
    z.object({
      ref: z.string(),
      addr: z.string().nullish(),
      flavour: z.string(),
      hall: z.string(),
      spare: z.boolean(),
      status: z.enum(['booting', 'running', 'failed']),
      age_s: z.number(),
    }),
  ),
  has_next: z.boolean().nullish(),
});

function check<T>(schema: z.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body);
  if (!parsed.success) throw new WireError(issueText(parsed.error));
  return parsed.data;
}

/** Machine types that the cloud offers. */
export function parseCatalog(body: unknown): MachineType[] {
  return check(catalog, body).flavours.map((f) => ({
    name: f.label,
    cpus: f.cpus,
    gpus: f.accelerators,
    memoryGb: f.mem_gb,
    cacheGb: f.cache_gb,
    fetchGbPerS: f.pull_gb_per_s,
    price: f.price,
    spotPrice: f.low_price ?? f.price,
    boot: millis(f.ready_s),
    zones: f.halls,
  }));
}

export const renderRent = (r: RentRequest): Record<string, unknown> => ({
  rental: r.request,
  flavour: r.type,
  hall: r.zone,
  spare: r.spot,
  count: r.count,
});

export const parseRented = (body: unknown): string[] => check(rented, body).hosts;

export const renderReturn = (machines: string[]): Record<string, unknown> => ({ hosts: machines });

export const listPath = (after: string): string =>
  `${MACHINES_PATH}?after=${encodeURIComponent(after)}&most=${MAX_LIST}`;

/** One page of the machine list. */
export function parseList(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const list = check(listing, body);
  return {
    more: list.has_next ?? false,
    machines: list.hosts.map((h) => ({
      id: h.ref,
      address: h.addr ?? '',
      type: h.flavour,
      zone: h.hall,
      spot: h.spare,
      state: h.status,
      age: millis(h.age_s),
    })),
  };
}

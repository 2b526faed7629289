/** Validates decoded values against the schemas of interfaces and settings files. */
import type { z } from 'zod';
import { SettingsError, WireError } from './errors.js';

/** Validates a body and returns it typed; throws `WireError` naming the first wrong field. */
export function validateBody<T>(schema: z.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body);
  if (!parsed.success) throw new WireError(describeIssue(parsed.error), { cause: parsed.error });
  return parsed.data;
}

/** Validates settings and returns them typed; throws `SettingsError` naming the first wrong one. */
export function validateSettings<T>(schema: z.ZodType<T>, settings: unknown): T {
  const parsed = schema.safeParse(settings);
  if (!parsed.success)
    throw new SettingsError(describeIssue(parsed.error), { cause: parsed.error });
  return parsed.data;
}

/** The first problem of a value, with the path of the field. */
function describeIssue(error: z.ZodError): string {
  const issue = error.issues[0];
  const path = issue?.path.map(String).join('.') ?? '';
  return `${path || 'value'}: ${issue?.message ?? 'invalid'}`;
}

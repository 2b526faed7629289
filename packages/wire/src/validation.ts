/** Checks of decoded values against the schemas of interfaces and settings files. */
import type { z } from 'zod';
import { SettingsError, WireError } from './errors.js';

/** The value in the form of the schema; throws `WireError` naming the first wrong field. */
export function validateBody<T>(schema: z.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body);
  if (!parsed.success) throw new WireError(describeIssue(parsed.error), { cause: parsed.error });
  return parsed.data;
}

/** The settings in the form of the schema; throws `SettingsError` naming the first wrong one. */
export function validateSettings<T>(schema: z.ZodType<T>, settings: unknown): T {
  const parsed = schema.safeParse(settings);
  if (!parsed.success)
    throw new SettingsError(describeIssue(parsed.error), { cause: parsed.error });
  return parsed.data;
}

/** The first thing that is wrong with a value, with its path. */
function describeIssue(error: z.ZodError): string {
  const issue = error.issues[0];
  const path = issue?.path.map(String).join('.') ?? '';
  return `${path || 'value'}: ${issue?.message ?? 'invalid'}`;
}

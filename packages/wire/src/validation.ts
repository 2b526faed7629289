/** Validates decoded values against the schemas of interfaces and settings files. */
import { z } from 'zod';
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

/**
 * The schema of a list whose elements match `element`, with at most `maxCount` of them. Validation
 * ends at the first wrong element: a list of our interfaces may have tens of thousands, and to
 * describe what is wrong with each of them would take many times the memory of the message.
 */
export function listOf<T>(element: z.ZodType<T>, maxCount = Infinity): z.ZodType<T[]> {
  return z
    .array(z.unknown())
    .max(maxCount)
    .transform((list, context) => {
      const valid: T[] = [];
      for (const [index, value] of list.entries()) {
        const parsed = element.safeParse(value);
        if (!parsed.success) {
          context.issues.push(issueOfElement(parsed.error, index, value));
          return z.NEVER;
        }
        valid.push(parsed.data);
      }
      return valid;
    });
}

/** The first problem of an element, as a problem of its list. */
function issueOfElement(error: z.ZodError, index: number, input: unknown): z.core.$ZodRawIssue {
  const issue = error.issues[0];
  const path = [index, ...(issue?.path ?? [])];
  return { code: 'custom', message: issue?.message, path, input };
}

/** The first problem of a value, with the path of the field. */
function describeIssue(error: z.ZodError): string {
  const issue = error.issues[0];
  const path = issue?.path.map(String).join('.') ?? '';
  return `${path || 'value'}: ${issue?.message ?? 'invalid'}`;
}

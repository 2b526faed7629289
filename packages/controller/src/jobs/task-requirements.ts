/** What a task takes of its machine, and on whose account. */
import type { JobSpec } from '@tealdock/wire';
import { NO_RESOURCES, resourcesOf, type Resources } from '@tealdock/scheduler';

/** Team, resources and image of a task. */
export interface TaskRequirements {
  readonly team: string;
  readonly resources: Resources;
  /** Null while the job is not known. */
  readonly image: string | null;
  readonly imageGb: number;
}

/** Stands in for the requirements of a task whose job has to be looked up first. */
export const UNKNOWN_REQUIREMENTS: TaskRequirements = {
  team: '',
  resources: NO_RESOURCES,
  image: null,
  imageGb: 0,
};

/** What each task of a job requires. */
export function requirementsOf(spec: JobSpec): TaskRequirements {
  const { team, image, imageGb } = spec;
  return { team, resources: resourcesOf(spec), image, imageGb };
}

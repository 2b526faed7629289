/** Resources and image that a task requires, and the team that is charged for it. */
import { LONGEST_ENTRY_FORM, entryFormOf, type JobSpec, type TaskEntryForm } from '@tealdock/wire';
import { NO_RESOURCES, resourcesOf, type Resources } from '@tealdock/scheduler';

/** Team, resources and image of a task. */
export interface TaskRequirements {
  readonly team: string;
  readonly resources: Resources;
  /** Null until the job has been looked up. */
  readonly image: string | null;
  readonly imageGb: number;
  /** What the task's entry in heartbeats may have to say. */
  readonly entryForm: TaskEntryForm;
}

/** Placeholder for a task whose job still has to be looked up. */
export const UNKNOWN_REQUIREMENTS: TaskRequirements = {
  team: '',
  resources: NO_RESOURCES,
  image: null,
  imageGb: 0,
  entryForm: LONGEST_ENTRY_FORM,
};

/** Requirements of each task of the job. */
export function requirementsOf(spec: JobSpec): TaskRequirements {
  const { team, image, imageGb } = spec;
  const entryForm = entryFormOf(spec);
  return { team, resources: resourcesOf(spec), image, imageGb, entryForm };
}

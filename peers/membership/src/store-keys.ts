/** Keys and key prefixes in the store. Watched keys start with the prefix and a slash; claim keys lie outside, so they are not mirrored. */
export class StoreKeys {
  readonly watched: string
  readonly members: string
  readonly leaders: string
  readonly documents: string
  readonly generation: string
  readonly assignments: string
  readonly ledgers: string
  readonly holders: string
  readonly claims: string

  /** @param prefix - key prefix from the settings */
  constructor (prefix: string) {
    this.watched = `${prefix}/`
    this.members = `${prefix}/members/`
    this.leaders = `${prefix}/leaders/`
    this.documents = `${prefix}/documents/`
    this.generation = `${prefix}/generation`
    this.assignments = `${prefix}/assignments/`
    this.ledgers = `${prefix}/ledgers/`
    this.holders = `${prefix}/holders/`
    this.claims = `${prefix}-claims/`
  }

  /**
   * @param kind - kind of the operators' document
   * @param name - name of the document
   * @returns key of the document
   */
  document (kind: string, name: string): string {
    return `${this.documents}${kind}/${name}`
  }
}

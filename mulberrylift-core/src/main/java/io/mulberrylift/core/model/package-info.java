/**
 * Value types shared by all parts: identifiers, requests, refusals and the published
 * instance list.
 */
package io.mulberrylift.core.model;
